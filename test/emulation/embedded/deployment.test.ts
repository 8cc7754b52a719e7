import { describe, it } from 'node:test'
import { expect } from 'earl'
import { startDeployment } from '../../../src/emulation/embedded/deployment.ts'
import { ASSOCIATION_SIZES } from '../../../src/emulation/embedded/sizes.ts'

const MAXIMUM_POLLS = 1000
const countServers = (): number =>
  process.getActiveResourcesInfo().filter((resource) => resource === 'TCPServerWrap').length

describe('an embedded deployment', () => {
  // Guards against test files that never end because their deployment did not start.
  it('closes what it has started when no primary is elected in time', async () => {
    const sizes = { ...ASSOCIATION_SIZES, groups: ['member-a'], keepers: 0 }
    await expect(startDeployment({ sizes, startTimeoutMs: 50 })).toBeRejectedWith('timed out waiting')
    // Handles are released some turns of the event loop after they are closed.
    for (let polls = 0; polls < MAXIMUM_POLLS && countServers() > 0; polls++) {
      await new Promise((resolve) => setTimeout(resolve, 5))
    }
    expect(countServers()).toEqual(0)
  })
})
