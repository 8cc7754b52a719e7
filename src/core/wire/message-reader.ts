/**
 * Reads messages between hosts. A schema describes each message, and a check of few steps recognises its usual forms,
 * which are then used as they are. Everything else goes through the schema, which refuses it or drops unknown fields.
 * A process receives few messages per second, so the code that a schema generates for each object runs cold.
 */
import type * as z from 'zod'

/** Whether a value has a form. It must accept only what the schema accepts without a change. */
type Check = (value: unknown) => boolean

/** Checks by field. */
type Fields = Record<string, Check>

/** Reads messages of one type. */
interface MessageReader<Schema extends z.ZodType> {
  schema: Schema
  /**
   * Reads a message.
   *
   * @param value - the decoded message
   * @returns the message
   * @throws ZodError on a malformed message
   */
  read: (value: unknown) => z.output<Schema>
}

export const isText: Check = (value) => typeof value === 'string'
export const isFlag: Check = (value) => typeof value === 'boolean'
export const isAnything: Check = () => true
/** Schemas accept only finite numbers. */
export const isNumber: Check = Number.isFinite
/** Schemas accept only integers that are represented exactly. */
export const isInteger: Check = Number.isSafeInteger
export const isCount: Check = (value) => isInteger(value) && value as number >= 0

/** Returns a check for one of several texts. */
export function isOneOf (...texts: string[]): Check {
  return (value) => texts.includes(value as string)
}

/** Returns a check for a list. */
export function isListOf (check: Check): Check {
  return (value) => {
    if (!Array.isArray(value)) {
      return false
    }
    for (const part of value) {
      if (!check(part)) {
        return false
      }
    }
    return true
  }
}

/** Returns a check for an object whose fields all have the same form. */
export function isRecordOf (check: Check): Check {
  return (value) => isObject(value) && isListOf(check)(Object.values(value))
}

/**
 * Returns a check for an object. An unknown field does not pass, so that the schema decides on it.
 *
 * @param required - fields that must be present
 * @param optional - fields that may be absent or undefined
 * @returns the check
 */
export function hasFields (required: Fields, optional: Fields = {}): Check {
  const checks = new Map(Object.entries(optional).map(([name, check]): [string, Check] =>
    [name, (value) => value === undefined || check(value)]))
  Object.entries(required).forEach(([name, check]) => checks.set(name, check))
  const names = Object.keys(required)
  return (value) => {
    if (!isObject(value)) {
      return false
    }
    for (const name of Object.keys(value)) {
      if (checks.get(name)?.(value[name]) !== true) {
        return false
      }
    }
    return names.every((name) => name in value)
  }
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/**
 * Creates the reader of a message.
 *
 * @param schema - describes the message
 * @param isUsual - accepts its usual forms
 * @returns the reader
 */
export function createReader<Schema extends z.ZodType> (schema: Schema, isUsual: Check): MessageReader<Schema> {
  return {
    schema,
    read: (value) => isUsual(value) ? value as z.output<Schema> : schema.parse(value)
  }
}
