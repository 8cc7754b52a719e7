/** Accesses the table service through the DynamoDB client. */
import {
  DynamoDBClient, GetItemCommand, QueryCommand, TransactWriteItemsCommand, type AttributeValue
} from '@aws-sdk/client-dynamodb'
import { callPlatform } from './call-platform.ts'
import type { ConditionalRow, PlatformTable, TableRow } from './types.ts'

/** Maximum number of rows per query; longer lists are read in pages. */
const PAGE_ROWS = 500

/**
 * Creates the client of a table.
 *
 * @param client - the DynamoDB client
 * @param table - name of the table
 * @returns the table
 */
export function createPlatformTable (client: DynamoDBClient, table: string): PlatformTable {
  return {
    read: async (partition, sort) => {
      const command = new GetItemCommand({ TableName: table, Key: buildKey(partition, sort), ConsistentRead: true })
      const { Item } = await callPlatform('GetItem', async () => await client.send(command))
      return Item === undefined ? undefined : parseRow(Item)
    },
    list: async (partition, afterSort) => {
      const rows: TableRow[] = []
      let lastSort = afterSort
      for (;;) {
        const command = new QueryCommand({
          TableName: table,
          KeyConditionExpression: 'pk = :pk AND sk > :sk',
          ExpressionAttributeValues: { ':pk': { S: partition }, ':sk': { S: lastSort } },
          ConsistentRead: true,
          Limit: PAGE_ROWS
        })
        const { Items = [] } = await callPlatform('Query', async () => await client.send(command))
        rows.push(...Items.map(parseRow))
        if (Items.length < PAGE_ROWS) {
          return rows
        }
        lastSort = rows.at(-1)!.sort
      }
    },
    write: async (rows) => {
      const command = new TransactWriteItemsCommand({
        TransactItems: rows.map((row) => ({ Put: buildPut(table, row) }))
      })
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

function buildKey (partition: string, sort: string): Record<string, AttributeValue> {
  return { pk: { S: partition }, sk: { S: sort } }
}

function parseRow (item: Record<string, AttributeValue>): TableRow {
  return {
    partition: item['pk']?.S ?? '',
    sort: item['sk']?.S ?? '',
    version: Number(item['version']?.N ?? 0),
    body: item['body']?.S ?? ''
  }
}

function buildPut (table: string, row: ConditionalRow): {
  TableName: string
  Item: Record<string, AttributeValue>
  ConditionExpression: string
  ExpressionAttributeNames?: Record<string, string>
  ExpressionAttributeValues?: Record<string, AttributeValue>
} {
  const item = { ...buildKey(row.partition, row.sort), version: { N: String(row.version) }, body: { S: row.body } }
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
