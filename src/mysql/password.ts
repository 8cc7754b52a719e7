/** Password hashes of the MySQL native password method. */
import { createHash } from 'node:crypto'

function sha1 (data: string | Buffer): Buffer {
  return createHash('sha1').update(data).digest()
}

/**
 * Hashes a password as MySQL stores it.
 *
 * @param password - the password
 * @returns SHA1(SHA1(password))
 */
export function doubleSha1 (password: string): Buffer {
  return sha1(sha1(password))
}
