/** An in-memory stand-in for the object store with the S3 operations put, get and list. */
import { ownValue } from '../../core/own-value.ts'

/** HTTP response of the store. */
interface ObjectAnswer {
  status: number
  body: string | Buffer
  contentType: string
}

/** An object store. */
interface ObjectStore {
  /**
   * Runs an operation.
   *
   * @param method - HTTP method
   * @param url - path and query of the request
   * @param body - content of the object, for a put
   * @returns the answer
   */
  call: (method: string, url: URL, body: Buffer) => ObjectAnswer
}

const XML = 'application/xml'

/**
 * Creates an empty store.
 *
 * @returns the store
 */
export function createObjectStore (): ObjectStore {
  const objects = new Map<string, Buffer>()
  const methods: Record<string, (url: URL, body: Buffer) => ObjectAnswer> = {
    PUT: (url, body) => {
      objects.set(url.pathname, body)
      return { status: 200, body: '', contentType: XML }
    },
    GET: (url) => url.searchParams.get('list-type') === '2' ? list(objects, url) : get(objects, url)
  }
  return {
    call: (method, url, body) =>
      ownValue(methods, method)?.(url, body) ?? { status: 405, body: errorXml('MethodNotAllowed'), contentType: XML }
  }
}

function get (objects: Map<string, Buffer>, url: URL): ObjectAnswer {
  const content = objects.get(url.pathname)
  return content === undefined
    ? { status: 404, body: errorXml('NoSuchKey'), contentType: XML }
    : { status: 200, body: content, contentType: 'application/octet-stream' }
}

function list (objects: Map<string, Buffer>, url: URL): ObjectAnswer {
  const bucket = url.pathname.replace(/\/$/, '')
  const prefix = `${bucket}/${url.searchParams.get('prefix') ?? ''}`
  const keys = [...objects.keys()].filter((path) => path.startsWith(prefix)).sort()
  const contents = keys.map((path) => `<Contents><Key>${decodeURIComponent(path.slice(bucket.length + 1))}</Key></Contents>`)
  const body = `<?xml version="1.0"?><ListBucketResult><KeyCount>${keys.length}</KeyCount>` +
    `<IsTruncated>false</IsTruncated>${contents.join('')}</ListBucketResult>`
  return { status: 200, body, contentType: XML }
}

function errorXml (code: string): string {
  return `<?xml version="1.0"?><Error><Code>${code}</Code><Message>${code}</Message></Error>`
}
