import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createPendingOrders } from '../../../src/entry/leadership/pending-orders.ts'
import type { Registry } from '../../../src/entry/registry/index.ts'

// Guards against look-ups of an upstream's name that find an inherited property.
describe('orders to promote', () => {
  it('are none for an upstream whose name objects inherit', () => {
    const registry = { current: { group: () => ({ row: { orders: {} }, version: 1 }) } } as unknown as Registry
    const orders = createPendingOrders({ group: 'g', registry })
    expect(['constructor', '__proto__', 'valueOf'].map(orders.untilMs)).toEqual([-Infinity, -Infinity, -Infinity])
  })
})
