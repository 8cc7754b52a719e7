/** Schema that every stand-in upstream creates at its start. */

/** The request ledger; its primary key ensures that only one attempt per request key takes effect. */
export const LEDGER_SCHEMA = [
  `CREATE TABLE IF NOT EXISTS worksward_ledger (
    scope TEXT NOT NULL, request_key TEXT NOT NULL, fingerprint TEXT NOT NULL, state TEXT NOT NULL,
    attempt INTEGER NOT NULL, affected_rows INTEGER NOT NULL DEFAULT 0, insert_id INTEGER NOT NULL DEFAULT 0,
    created_at INTEGER NOT NULL, PRIMARY KEY (scope, request_key))`
]
