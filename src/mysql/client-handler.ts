/** What a server of the MySQL protocol offers to a client's handler, and asks of it. */
import type { Answer, Statement } from './types.ts'

/** A refusal sent to the client as a MySQL error. */
export interface Refusal {
  code: number
  message: string
}

/** Serves one client. */
export interface ClientHandler {
  /** Runs a statement; throws to answer with an error. */
  execute: (statement: Statement) => Promise<Answer>
  /** Makes a database the connection's default. */
  selectDatabase: (database: string) => Promise<void>
  /** Forgets all state of the connection. */
  reset: () => Promise<void>
  /** Called once when the connection is gone. */
  close: () => void
}

/** A client that has authenticated itself. */
export interface ClientHello {
  connectionId: number
  user: string
  database: string
  /** Connection attributes the client sent. */
  attributes: Record<string, string>
  /** Ends the connection once the command in progress is answered. */
  end: () => void
  /** Ends the connection at once. */
  destroy: () => void
}

/** How clients are served. */
export interface ServeOptions {
  /** Bytes a single command may have; a larger one ends with an error. */
  statementBytes: number
  /**
   * Says how to check a user.
   *
   * @param user - the name
   * @returns SHA1(SHA1(password)), or undefined for an unknown user
   */
  findPasswordHash: (user: string, database: string) => Buffer | undefined
  /**
   * Decides whether one more client may connect.
   *
   * @param onClose - registers a listener for the end of the connection
   * @returns a refusal, or undefined to accept
   */
  admit?: (onClose: (listener: () => void) => void) => Promise<Refusal | undefined>
  /** Creates the handler of an authenticated client. */
  serve: (client: ClientHello) => ClientHandler | Promise<ClientHandler>
  /** Turns what a handler threw into a MySQL error. */
  toRefusal: (thrown: unknown) => Refusal
}
