/** Constants of the MySQL protocol. */

/** Command codes that the server supports. */
export const COMMAND = {
  quit: 0x01,
  selectDatabase: 0x02,
  query: 0x03,
  ping: 0x0e,
  prepare: 0x16,
  execute: 0x17,
  closeStatement: 0x19,
  resetStatement: 0x1a,
  setOption: 0x1b,
  resetConnection: 0x1f
} as const

/** Column type codes. */
export const COLUMN_TYPE = {
  tiny: 1,
  short: 2,
  long: 3,
  float: 4,
  double: 5,
  longLong: 8,
  int24: 9,
  year: 13,
  blob: 252,
  varString: 253
} as const

/** Character set of text columns: utf8mb4. */
export const TEXT_CHARACTER_SET = 45
/** Character set of numeric and binary columns. */
export const BINARY_CHARACTER_SET = 63

/** Capabilities offered to clients: protocol 4.1, native passwords, default database, attributes. */
export const SERVER_CAPABILITIES =
  0x00000001 | // long password
  0x00000002 | // found rows
  0x00000004 | // long column flags
  0x00000008 | // default database at connect
  0x00000200 | // protocol 4.1
  0x00002000 | // status flags
  0x00008000 | // native password
  0x00080000 | // plug-in authentication
  0x00100000 // connection attributes

/** MySQL error codes that worksward sends or handles. */
export const MYSQL_ERROR = {
  tooManyConnections: 1040,
  accessDenied: 1045,
  unknownDatabase: 1049,
  unknownCommand: 1047,
  duplicateEntry: 1062,
  unknown: 1105,
  readOnly: 1290,
  lockWaitTimeout: 1205
} as const
