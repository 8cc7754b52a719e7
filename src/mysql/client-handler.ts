/** Interfaces between the MySQL protocol server and the handlers that serve its clients. */
import type { Verdict } from '../core/errors/index.ts'
import type { Answer, Statement } from './types.ts'

/** A MySQL error to send to the client. */
export interface Refusal {
  code: number
  message: string
}

/** Executes the commands of one client. */
export interface ClientHandler {
  /** Runs a statement; throws to answer with an error. */
  execute: (statement: Statement) => Promise<Answer>
  /** Sets the connection's default database. */
  selectDatabase: (database: string) => Promise<void>
  /** Resets the connection's session state. */
  reset: () => Promise<void>
  /** Called once when the connection has closed. */
  close: () => void
}

/** A client that has authenticated itself. */
export interface AuthenticatedClient {
  connectionId: number
  user: string
  database: string
  /** Connection attributes that the client sent. */
  attributes: Record<string, string>
  /** Closes the connection after all received commands have been answered. */
  end: () => void
  /**
   * Answers all received commands with errors at once, and closes the connection.
   *
   * @param errorOf - creates the error of a command that may have run, or that has not
   */
  endNow: (errorOf: (verdict: Verdict) => Error) => void
  /** Closes the connection immediately. */
  destroy: () => void
}

/** The stop of a server, as far as the writing of result sets depends on it. */
interface StoppingServer {
  /** Returns the time until the connections are closed, in milliseconds; Infinity while the server does not stop. */
  remainingMs: () => number
  /** Creates the error in place of the rows that can't be written any more. */
  errorOf: (verdict: Verdict) => Error
}

/** Options for serving clients. */
export interface ServeOptions {
  /** Maximum length of a command, in bytes; longer commands are answered with an error. */
  statementBytes: number
  /**
   * Looks up a user's password hash.
   *
   * @returns SHA1(SHA1(password)), or undefined for an unknown user
   */
  findPasswordHash: (user: string, database: string) => Buffer | undefined
  /**
   * Decides whether to accept another client.
   *
   * @param onClose - registers a listener for the connection's close
   * @returns an error to refuse the client, or undefined to accept it
   */
  admit?: (onClose: (listener: () => void) => void) => Promise<Refusal | undefined>
  /** Creates the handler of an authenticated client. */
  serve: (client: AuthenticatedClient) => ClientHandler | Promise<ClientHandler>
  /** Converts an error thrown by a handler into a MySQL error. */
  toRefusal: (thrown: unknown) => Refusal
  /** Ends result sets early while this process stops; by default all of them are written whole. */
  stopping?: StoppingServer
}
