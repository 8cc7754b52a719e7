/** An in-memory stand-in for the table service with the DynamoDB operations that worksward uses. */
import * as z from 'zod'
import { ownValue } from '../../core/own-value.ts'

const textSchema = z.object({ S: z.string() })
const numberSchema = z.object({ N: z.string() })
const itemSchema = z.object({ pk: textSchema, sk: textSchema, version: numberSchema, body: textSchema })
const getSchema = z.object({ Key: z.object({ pk: textSchema, sk: textSchema }) })
const querySchema = z.object({
  KeyConditionExpression: z.literal('pk = :pk AND sk > :sk'),
  ExpressionAttributeValues: z.object({ ':pk': textSchema, ':sk': textSchema }),
  Limit: z.number().default(1000)
})
const putSchema = z.object({
  Item: itemSchema,
  ConditionExpression: z.enum(['attribute_not_exists(pk)', '#version = :expected']),
  ExpressionAttributeValues: z.object({ ':expected': numberSchema }).optional()
})
const transactSchema = z.object({ TransactItems: z.array(z.object({ Put: putSchema })).max(100) })

type Item = z.infer<typeof itemSchema>
type Put = z.infer<typeof putSchema>

/** HTTP response with a JSON body. */
export interface TableAnswer {
  status: number
  body: unknown
}

/** A table service. */
interface TableService {
  /**
   * Runs an operation.
   *
   * @param operation - name of the operation, such as `GetItem`
   * @param body - parsed JSON body
   * @returns the answer
   */
  call: (operation: string, body: unknown) => TableAnswer
  /** Returns whether an operation is a write. */
  writes: (operation: string) => boolean
  /** Puts a row unconditionally, as the platform does for its own rows. */
  put: (partition: string, sort: string, body: string) => void
  remove: (partition: string, sort: string) => void
}

/**
 * Creates an empty table.
 *
 * @returns the service
 */
export function createTableService (): TableService {
  const items = new Map<string, Item>()

  const conditionHolds = ({ Item: item, ConditionExpression, ExpressionAttributeValues }: Put): boolean => {
    const existing = items.get(keyOf(item.pk.S, item.sk.S))
    return ConditionExpression === 'attribute_not_exists(pk)'
      ? existing === undefined
      : existing?.version.N === ExpressionAttributeValues?.[':expected'].N
  }

  const operations: Record<string, (body: unknown) => TableAnswer> = {
    GetItem: (body) => {
      const { Key } = getSchema.parse(body)
      return { status: 200, body: { Item: items.get(keyOf(Key.pk.S, Key.sk.S)) } }
    },
    Query: (body) => {
      const { ExpressionAttributeValues: values, Limit } = querySchema.parse(body)
      const found = [...items.values()]
        .filter((item) => item.pk.S === values[':pk'].S && item.sk.S > values[':sk'].S)
        .sort((left, right) => left.sk.S < right.sk.S ? -1 : 1)
        .slice(0, Limit)
      return { status: 200, body: { Items: found, Count: found.length } }
    },
    TransactWriteItems: (body) => {
      const puts = transactSchema.parse(body).TransactItems.map(({ Put }) => Put)
      const reasons = puts.map((put) => ({ Code: conditionHolds(put) ? 'None' : 'ConditionalCheckFailed' }))
      if (reasons.some(({ Code }) => Code !== 'None')) {
        return failure('TransactionCanceledException', 'a condition did not hold', { CancellationReasons: reasons })
      }
      puts.forEach(({ Item: item }) => items.set(keyOf(item.pk.S, item.sk.S), item))
      return { status: 200, body: {} }
    }
  }

  return {
    writes: (operation) => operation === 'TransactWriteItems',
    call: (operation, body) => {
      const run = ownValue(operations, operation)
      if (run === undefined) {
        return failure('UnknownOperationException', `no operation ${operation}`)
      }
      try {
        return run(body)
      } catch (thrown) {
        return failure('ValidationException', String(thrown))
      }
    },
    put: (partition, sort, body) => {
      const version = Number(items.get(keyOf(partition, sort))?.version.N ?? 0) + 1
      items.set(keyOf(partition, sort), {
        pk: { S: partition }, sk: { S: sort }, version: { N: String(version) }, body: { S: body }
      })
    },
    remove: (partition, sort) => { items.delete(keyOf(partition, sort)) }
  }
}

function keyOf (partition: string, sort: string): string {
  return `${partition}\0${sort}`
}

function failure (type: string, message: string, more: object = {}): TableAnswer {
  return { status: 400, body: { __type: `com.amazonaws.dynamodb.v20120810#${type}`, message, ...more } }
}
