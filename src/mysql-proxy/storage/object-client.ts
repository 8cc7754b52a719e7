/** The object store through the S3 client. */
import { GetObjectCommand, ListObjectsV2Command, PutObjectCommand, type S3Client } from '@aws-sdk/client-s3'
import { describeThrown, WorkswardError } from '../../core/errors/index.ts'
import type { PlatformObjects } from './types.ts'

/**
 * Creates the store.
 *
 * @param client - client of the service
 * @param bucket - name of the bucket
 * @returns the store
 */
export function createPlatformObjects (client: S3Client, bucket: string): PlatformObjects {
  return {
    put: async (key, text) => {
      await call('PutObject', async () => await client.send(new PutObjectCommand({ Bucket: bucket, Key: key, Body: text })))
    },
    get: async (key) => await call('GetObject', async () => {
      try {
        const { Body } = await client.send(new GetObjectCommand({ Bucket: bucket, Key: key }))
        return await Body?.transformToString()
      } catch (thrown) {
        if (thrown instanceof Error && thrown.name === 'NoSuchKey') {
          return undefined
        }
        throw thrown
      }
    }),
    list: async (prefix) => {
      const command = new ListObjectsV2Command({ Bucket: bucket, Prefix: prefix })
      const { Contents = [] } = await call('ListObjectsV2', async () => await client.send(command))
      return Contents.map(({ Key }) => Key ?? '')
    }
  }
}

async function call<Result> (operation: string, send: () => Promise<Result>): Promise<Result> {
  try {
    return await send()
  } catch (thrown) {
    throw new WorkswardError('PlatformUnavailable', { operation, reason: describeThrown(thrown) })
  }
}
