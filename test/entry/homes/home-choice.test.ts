import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { createHomeChoice, PROBE_AGAIN_MS, type HomeChoice } from '../../../src/entry/homes/home-choice.ts'
import { LOAD_HALF_LIFE_MS, OVERHEAD } from '../../../src/entry/homes/home-cost.ts'
import type { KnownHost } from '../../../src/entry/registry/index.ts'

const homeNamed = (name: string, process = `${name}-1`, version = 1): KnownHost =>
  ({ name, process, address: '10.0.0.1', port: 1, failureDomain: 'x', version })
const NONE: ReadonlySet<string> = new Set()

describe('the choice among homes', () => {
  let clock: Clock
  let choice: HomeChoice
  const [a, b] = [homeNamed('a'), homeNamed('b')]
  const chosen = (homes = [a, b], tried = NONE): string | undefined => choice.choose('u', homes, tried)?.name

  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance'] })
    choice = createHomeChoice()
  })
  afterEach(() => { clock.uninstall() })

  it('takes the one that has less to do, by what it told and what was sent there', () => {
    choice.recordAnswer(a, 'u', { load: 5, leaving: false })
    choice.recordAnswer(b, 'u', { load: 1, leaving: false })
    expect(chosen()).toEqual('b')
    for (let count = 0; count < 8; count++) {
      choice.recordSent(b, 'u')
    }
    expect(chosen()).toEqual('a')
    expect(choice.loadOf('u')).toEqual(8)
    expect(choice.loadOf('another')).toEqual(0)
  })

  it('prefers one home for an organisation, until that has more to do than another connection costs', () => {
    const homes = ['a', 'b', 'c', 'd'].map((name) => homeNamed(name))
    const of = (organisation: string): string | undefined => choice.choose('u', homes, NONE, organisation)?.name
    const preferred = of('red')!
    expect(Array.from({ length: 20 }, () => of('red')).every((name) => name === preferred)).toEqual(true)
    const organisations = Array.from({ length: 40 }, (_, index) => `o${index}`)
    expect(new Set(organisations.map(of)).size).toEqual(homes.length)
    choice.recordAnswer(homeNamed(preferred), 'u', { load: 8, leaving: false })
    expect(of('red') === preferred).toEqual(false)
    expect(choice.choose('u', homes.filter(({ name }) => name !== preferred), NONE, 'red') === undefined).toEqual(false)
  })

  it('forgets what a home told some time ago', () => {
    choice.recordAnswer(a, 'u', { load: 8, leaving: false })
    choice.recordSent(b, 'u')
    expect(chosen()).toEqual('b')
    clock.tick(LOAD_HALF_LIFE_MS * 5)
    expect(chosen()).toEqual('a')
  })

  it('takes the one whose answers take less beyond their statements, until that is some time ago', () => {
    choice.recordAnswer(a, 'u', { load: 0, leaving: false }, 120)
    choice.recordAnswer(b, 'u', { load: 2, leaving: false }, 4)
    expect(chosen()).toEqual('b')
    clock.tick(OVERHEAD.halfLifeMs * 8)
    choice.recordSent(b, 'u')
    expect(chosen()).toEqual('a')
  })

  it('passes over one that failed until it answers', () => {
    choice.recordFailure(a)
    clock.tick(PROBE_AGAIN_MS * 10)
    expect(chosen([a])).toEqual(undefined)
    choice.recordAnswer(a, 'u')
    expect(chosen([a])).toEqual('a')
  })

  it('has one at a time asked again of those that failed, the one that was asked longest ago', () => {
    choice.recordFailure(a)
    clock.tick(1)
    choice.recordFailure(b)
    clock.tick(PROBE_AGAIN_MS - 2)
    expect(choice.takeDueProbe([a, b])).toEqual(undefined)
    for (const due of [a, b, a, b]) {
      clock.tick(PROBE_AGAIN_MS)
      expect(choice.takeDueProbe([b, a])).toEqual(due)
      expect(choice.takeDueProbe([b, a])).toEqual(undefined)
    }
    choice.recordAnswer(a, 'u')
    choice.recordAnswer(b, 'u')
    clock.tick(PROBE_AGAIN_MS)
    expect(choice.takeDueProbe([a, b])).toEqual(undefined)
  })

  it('counts several failures as one', () => {
    choice.recordFailure(a)
    clock.tick(PROBE_AGAIN_MS - 1)
    choice.recordFailure(a)
    clock.tick(1)
    expect(choice.takeDueProbe([a])).toEqual(a)
  })

  it('leaves one that is stopping, until another process runs there', () => {
    choice.recordAnswer(a, 'u', { load: 0, leaving: true })
    expect(chosen([a])).toEqual(undefined)
    expect(chosen([homeNamed('a', 'a-2')])).toEqual('a')
  })

  it('takes none twice for one statement', () => {
    expect(chosen([a, b], new Set(['a']))).toEqual('b')
    expect(chosen([a, b], new Set(['a', 'b']))).toEqual(undefined)
  })

  it('keeps what it has seen of a restarted process when a statement of the one before ends late', () => {
    const restarted = homeNamed('a', 'a-2', 2)
    choice.recordSent(a, 'u')
    choice.recordFailure(restarted)
    choice.recordEnded(a, 'u')
    choice.recordFailure(a)
    expect(choice.isSilent(restarted)).toEqual(true)
    expect(choice.loadOf('u')).toEqual(0)
  })

  it('remembers no more hosts than there are, however many come and go', () => {
    for (let number = 0; number < 5000; number++) {
      const host = homeNamed(`host-${number}`)
      choice.recordSent(host, `upstream-${number}`)
      choice.recordAnswer(host, `upstream-${number}`, { load: 1, leaving: false })
      choice.recordEnded(host, `upstream-${number}`)
      choice.retain([host])
      choice.forgetUpstream(`upstream-${number}`)
    }
    expect(choice.remembered).toEqual(1)
  })

  it('goes on counting what is in progress at a host that is gone', () => {
    choice.recordSent(a, 'u')
    choice.retain([b])
    expect(choice.loadOf('u')).toEqual(1)
    choice.recordEnded(a, 'u')
    choice.retain([b])
    expect([choice.loadOf('u'), choice.remembered]).toEqual([0, 0])
  })
})
