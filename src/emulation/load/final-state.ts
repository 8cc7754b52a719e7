/** Sets up the initial data of a group, and reads its final state directly from the primary. */
import mysql from 'mysql2/promise'
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { FinalRecord, FinalState } from './history.ts'
import { REGISTER_START, REGISTERS } from './operations.ts'

/** Address and credentials of an upstream. */
export interface UpstreamLogin extends Endpoint {
  user: string
  password: string
  database: string
}

/**
 * Inserts the registers with their initial values.
 *
 * @param login - the primary, or a proxy
 * @returns the sum of all registers
 */
export async function fillRegisters (login: UpstreamLogin): Promise<number> {
  const connection = await connect(login)
  for (const name of REGISTERS) {
    await connection.query('INSERT INTO registers (name, value) VALUES (?, ?)', [name, REGISTER_START])
  }
  connection.destroy()
  return REGISTER_START * REGISTERS.length
}

/**
 * Reads all records and the sum of all registers.
 *
 * @param login - the primary
 * @returns the final state
 */
export async function readFinalState (login: UpstreamLogin): Promise<FinalState> {
  const connection = await connect(login)
  const [records] = await connection.query('SELECT session, request FROM records')
  const [totals] = await connection.query('SELECT SUM(value) AS total FROM registers')
  connection.destroy()
  return {
    records: (records as FinalRecord[]).map(({ session, request }) => ({ session, request })),
    total: Number((totals as Array<{ total: number }>)[0]?.total)
  }
}

async function connect ({ address, port, user, password, database }: UpstreamLogin): Promise<mysql.Connection> {
  return await mysql.createConnection({ host: address, port, user, password, database })
}
