/** Plug-in `platform`: clients of the table service and the object store. */
import { Agent } from 'node:http'
import { DynamoDBClient } from '@aws-sdk/client-dynamodb'
import { S3Client } from '@aws-sdk/client-s3'
import { NodeHttpHandler } from '@smithy/node-http-handler'
import type { MemberSettings } from '../../core/config/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { createPlatformObjects } from './object-client.ts'
import { createPlatformTable } from './table-client.ts'
import type { PlatformObjects, PlatformTable } from './types.ts'

// Suppresses the AWS SDK's warning about its next minimum version of Node.js; package.json sets the supported versions.
process.env['AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED'] ??= 'true'

/** Service of the plug-in. */
interface Platform {
  table: PlatformTable
  objects: PlatformObjects
}

declare module '../../core/kernel/index.ts' {
  interface Services { platform: Platform }
}

/** Clients of the platform's services. */
export interface PlatformConnection extends Platform {
  close: () => void
}

/**
 * Creates the clients of the platform's services; no connection is opened before the first call.
 *
 * @param settings - endpoints, credentials and timeout
 * @param dialer - opens the connections
 * @returns the clients
 */
export function connectPlatform (settings: MemberSettings['platform'], dialer: Dialer): PlatformConnection {
  const clientOptions = {
    region: settings.region,
    credentials: { accessKeyId: settings.accessKey, secretAccessKey: settings.secretKey },
    maxAttempts: 1
  }
  const createRequestHandler = (): NodeHttpHandler => createHandler(createAgent(dialer), settings.timeoutMs)
  const tables = new DynamoDBClient({
    ...clientOptions, endpoint: settings.tableEndpoint, requestHandler: createRequestHandler()
  })
  const objects = new S3Client({
    ...clientOptions, endpoint: settings.objectEndpoint, forcePathStyle: true, requestHandler: createRequestHandler()
  })
  return {
    table: createPlatformTable(tables, settings.table),
    objects: createPlatformObjects(objects, settings.bucket),
    close: () => {
      tables.destroy()
      objects.destroy()
    }
  }
}

/** Maximum number of connections per service. */
const MAXIMUM_SOCKETS = 4

/**
 * Creates a request handler that discards idle connections after a failed request, because connections often go silent
 * together.
 */
function createHandler (agent: Agent, timeoutMs: number): NodeHttpHandler {
  const handler = new NodeHttpHandler({
    httpAgent: agent,
    connectionTimeout: timeoutMs,
    requestTimeout: timeoutMs,
    // A response may also stop in the middle of its body.
    socketTimeout: timeoutMs,
    throwOnRequestTimeout: true
  })
  const handle = handler.handle.bind(handler)
  handler.handle = async (...request) => {
    try {
      return await handle(...request)
    } catch (thrown) {
      Object.values(agent.freeSockets).forEach((sockets) => sockets?.forEach((socket) => socket.destroy()))
      throw thrown
    }
  }
  return handler
}

/** Creates an HTTP agent that opens its connections through the dialer of the process. */
function createAgent (dialer: Dialer): Agent {
  const agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS })
  agent.createConnection = (options) => dialer({
    address: String((options as { host?: string }).host), port: Number((options as { port?: number }).port)
  })
  return agent
}

registerPlugin({
  name: 'platform',
  dependencies: [],
  start: ({ settings, dialer }) => {
    const connection = connectPlatform((settings as MemberSettings).platform, dialer)
    return { service: connection, close: connection.close }
  }
})
