/** Accesses the object store through the S3 client. */
import { GetObjectCommand, ListObjectsV2Command, PutObjectCommand, type S3Client } from '@aws-sdk/client-s3'
import { callPlatform } from './call-platform.ts'
import type { PlatformObjects } from './types.ts'

/**
 * Creates the client of the object store.
 *
 * @param client - the S3 client
 * @param bucket - name of the bucket
 * @returns the object store
 */
export function createPlatformObjects (client: S3Client, bucket: string): PlatformObjects {
  return {
    put: async (key, text) => {
      await callPlatform('PutObject', async () => await client.send(new PutObjectCommand({ Bucket: bucket, Key: key, Body: text })))
    },
    get: async (key) => await callPlatform('GetObject', async () => {
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
      const { Contents = [] } = await callPlatform('ListObjectsV2', async () => await client.send(command))
      return Contents.map(({ Key }) => Key ?? '')
    }
  }
}
