/** The table service through the DynamoDB client. */
import {
  DynamoDBClient, GetItemCommand, QueryCommand, TransactWriteItemsCommand, type AttributeValue
} from '@aws-sdk/client-dynamodb'
import { callPlatform } from './call-platform.ts'
import type { ConditionalRow, PlatformTable, TableRow } from './types.ts'

/** Greatest number of rows in one page of a listing. */
const PAGE_ROWS = 500

/**
 * Creates the table.
 *
 * @param client - client of the service
 * @param table - name of the table
 * @returns the table
 */
export function createPlatformTable (client: DynamoDBClient, table: string): PlatformTable {
  return {
    read: async (partition, sort) => {
      const command = new GetItemCommand({ TableName: table, Key: keyOf(partition, sort), ConsistentRead: true })
      const { Item } = await callPlatform('GetItem', async () => await client.send(command))
      return Item === undefined ? undefined : toRow(Item)
    },
    list: async (partition, above) => {
      const rows: TableRow[] = []
      let after = above
      for (;;) {
        const command = new QueryCommand({
          TableName: table,
          KeyConditionExpression: 'pk = :pk AND sk > :sk',
          ExpressionAttributeValues: { ':pk': { S: partition }, ':sk': { S: after } },
          ConsistentRead: true,
          Limit: PAGE_ROWS
        })
        const { Items = [] } = await callPlatform('Query', async () => await client.send(command))
        rows.push(...Items.map(toRow))
        if (Items.length < PAGE_ROWS) {
          return rows
        }
        after = rows.at(-1)!.sort
      }
    },
    write: async (rows) => {
      const command = new TransactWriteItemsCommand({ TransactItems: rows.map((row) => ({ Put: toPut(table, row) })) })
      return await callPlatform('TransactWriteItems', async () => {
        try {
          await client.send(command)
          return true
        } catch (thrown) {
          if (thrown instanceof Error && thrown.name === 'TransactionCanceledException') {
            return false
          }
          throw thrown
        }
      })
    }
  }
}

function keyOf (partition: string, sort: string): Record<string, AttributeValue> {
  return { pk: { S: partition }, sk: { S: sort } }
}

function toRow (item: Record<string, AttributeValue>): TableRow {
  return {
    partition: item['pk']?.S ?? '',
    sort: item['sk']?.S ?? '',
    version: Number(item['version']?.N ?? 0),
    body: item['body']?.S ?? ''
  }
}

function toPut (table: string, row: ConditionalRow): {
  TableName: string
  Item: Record<string, AttributeValue>
  ConditionExpression: string
  ExpressionAttributeNames?: Record<string, string>
  ExpressionAttributeValues?: Record<string, AttributeValue>
} {
  const item = { ...keyOf(row.partition, row.sort), version: { N: String(row.version) }, body: { S: row.body } }
  if (row.expectedVersion === undefined) {
    return { TableName: table, Item: item, ConditionExpression: 'attribute_not_exists(pk)' }
  }
  return {
    TableName: table,
    Item: item,
    ConditionExpression: '#version = :expected',
    ExpressionAttributeNames: { '#version': 'version' },
    ExpressionAttributeValues: { ':expected': { N: String(row.expectedVersion) } }
  }
}
