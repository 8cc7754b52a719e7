/** Plug-in `platform`: the table service and the object store. */
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

/** The client libraries print a note about later versions of Node.js; the supported one is in package.json. */
process.env['AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED'] ??= 'true'

/** Service of the plug-in. */
interface Platform {
  table: PlatformTable
  objects: PlatformObjects
}

declare module '../../core/kernel/index.ts' {
  interface Services { platform: Platform }
}

/** A connected platform. */
export interface PlatformConnection extends Platform {
  close: () => void
}

/**
 * Connects to the platform; nothing is sent before the first call.
 *
 * @param settings - where it is
 * @param dialer - opens the connections
 * @returns table and objects
 */
export function connectPlatform (settings: MemberSettings['platform'], dialer: Dialer): PlatformConnection {
  const common = {
    region: settings.region,
    credentials: { accessKeyId: settings.accessKey, secretAccessKey: settings.secretKey },
    maxAttempts: 1
  }
  const handler = (): NodeHttpHandler => new NodeHttpHandler({
    httpAgent: createAgent(dialer),
    connectionTimeout: settings.timeoutMs,
    requestTimeout: settings.timeoutMs,
    throwOnRequestTimeout: true
  })
  const tables = new DynamoDBClient({ ...common, endpoint: settings.tableEndpoint, requestHandler: handler() })
  const objects = new S3Client({
    ...common, endpoint: settings.objectEndpoint, forcePathStyle: true, requestHandler: handler()
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

/** Greatest number of connections to one service. */
const MAXIMUM_SOCKETS = 4

/** Opens connections through the dialer of the process, as all others. */
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
