/**
 * Decides which statement runs next at an upstream, and how much work goes before a new one.
 *
 * Designed for many organisations, of which one may send several times its usual rate, and for routes with different
 * latency targets that compete for a few slots. Steps of open transactions run first, then statements by priority.
 * Within a priority, those that can still meet their target go first; of these, one of the organisation that has
 * received least (start-time fair queueing over the expected durations), and within an organisation the shortest.
 * Every {@link LONGEST_WAIT_TURN}th turn goes to the statement that has used the largest part of its allowed wait, so
 * that statements with a long target are not starved by those with shorter ones.
 *
 * Without organisations the order is by priority, then by expected duration, then by arrival.
 */

/**
 * Priority of steps of open transactions, and of statements that hold a connection and wait for a slot again; ahead of
 * all other statements, whose priorities start at 0.
 */
export const OPEN_TRANSACTION_PRIORITY = -1
/** One turn in so many goes to the statement that has used the largest part of its allowed wait. */
const LONGEST_WAIT_TURN = 8
/** Number of organisations per priority whose virtual times are kept; beyond it the ones without effect are dropped. */
const MAXIMUM_ORGANISATIONS = 256

/** Statement that waits for an upstream, as the queue sees it. */
export interface QueueRequest {
  /** Name of the organisation; empty for none. */
  organisation: string
  /** Lower values run first. */
  priority: number
  /** Expected duration of the statement at the upstream, in milliseconds. */
  costMs: number
  /** Maximum wait, in milliseconds. */
  waitMs: number
  /** Time left until the latency target, in milliseconds; negative once it has passed. */
  dueInMs: number
}

/** A statement that waits for its turn. */
export interface QueuedStatement extends Readonly<QueueRequest> {
  /** When it was queued, on the monotonic clock. */
  readonly queuedAt: number
}

/** Virtual time of one organisation within a priority. */
interface Share {
  /** Virtual start of its next statement, in milliseconds: the expected duration of what it has run. */
  virtualMs: number
  /** Working value of {@link FairOrder.aheadOf}: virtual start of its next statement that was not counted yet. */
  countedMs: number
}

/** Virtual times of the organisations within a priority. */
interface PriorityClass {
  /** Virtual start of the statement that ran last; an organisation without a share has received this much. */
  virtualMs: number
  shares: Map<string, Share>
}

/** Work that goes before a statement. */
interface WorkAhead {
  count: number
  /** Expected duration of all of it, in milliseconds. */
  costMs: number
}

/** Order of the statements that wait for one upstream. Holds no timers. */
export class FairOrder {
  private readonly waiting: QueuedStatement[] = []
  private readonly classes = new Map<number, PriorityClass>()
  /** Number of waiting statements that have an organisation. */
  private organised = 0
  /** Turns since the last one that was given to the longest wait. */
  private turns = 0

  get count (): number {
    return this.waiting.length
  }

  /**
   * Queues a statement.
   *
   * @param request - the statement
   * @returns its entry
   */
  add (request: QueueRequest): QueuedStatement {
    const statement = { ...request, queuedAt: performance.now() }
    this.waiting.push(statement)
    this.organised += request.organisation === '' ? 0 : 1
    return statement
  }

  /** Removes a statement that no longer waits. */
  remove (statement: QueuedStatement): void {
    this.removeAt(this.waiting.indexOf(statement))
  }

  /**
   * Removes the statement that runs next and charges its organisation for it.
   *
   * @returns the statement; undefined if none waits
   */
  takeNext (): QueuedStatement | undefined {
    if (this.waiting.length === 0) {
      return undefined
    }
    const statement = this.removeAt(this.organised === 0 ? this.findShortest() : this.findFair())
    this.charge(statement!)
    return statement
  }

  /**
   * Advances the virtual time of the organisation of a statement that runs. Steps of open transactions are not charged,
   * since they go first whatever their organisation has received.
   *
   * @param request - the statement
   */
  charge ({ organisation, priority, costMs }: QueueRequest): void {
    if (organisation === '' || priority === OPEN_TRANSACTION_PRIORITY) {
      return
    }
    const ofPriority = this.classOf(priority)
    const startMs = virtualTimeOf(ofPriority, organisation)
    ofPriority.virtualMs = Math.max(ofPriority.virtualMs, startMs)
    const share = ofPriority.shares.get(organisation)
    if (share === undefined) {
      limitShares(ofPriority)
      ofPriority.shares.set(organisation, { virtualMs: startMs + costMs, countedMs: 0 })
    } else {
      share.virtualMs = startMs + costMs
    }
  }

  /**
   * Estimates the work that goes before a new statement. A statement of another organisation counts if its virtual
   * start is not later than that of the new one; the turns for the longest waits are counted as well.
   *
   * @param request - the new statement
   * @returns number and expected duration of the statements before it
   */
  aheadOf (request: QueueRequest): WorkAhead {
    const ahead = { count: 0, costMs: 0 }
    if (this.waiting.length === 0) {
      return ahead
    }
    if (request.organisation === '' && this.organised === 0) {
      this.waiting.filter((other) => !isShorter(request, other)).forEach((other) => countIn(ahead, other))
      return ahead
    }
    const now = performance.now()
    const isLate = request.costMs > request.dueInMs
    const peers: QueuedStatement[] = []
    let restMs = 0
    for (const other of this.waiting) {
      const precedence = other.priority - request.priority || Number(isLateAt(other, now)) - Number(isLate)
      if (precedence < 0) {
        countIn(ahead, other)
      } else if (precedence === 0) {
        peers.push(other)
      } else {
        restMs += other.costMs
      }
    }
    restMs += this.countPeers(request, peers, ahead)
    if (request.priority !== OPEN_TRANSACTION_PRIORITY) {
      ahead.costMs += Math.min(restMs, ahead.costMs / (LONGEST_WAIT_TURN - 1))
    }
    return ahead
  }

  /** Counts the statements of equal precedence that go before a request; returns the cost of those that go after it. */
  private countPeers (request: QueueRequest, peers: QueuedStatement[], ahead: WorkAhead): number {
    const ofPriority = this.classOf(request.priority)
    const { organisation, costMs } = request
    let startMs = virtualTimeOf(ofPriority, organisation)
    let restMs = 0
    for (const other of peers) {
      if (other.organisation !== organisation) {
        const share = ofPriority.shares.get(other.organisation)
        if (share !== undefined) {
          share.countedMs = virtualTimeOf(ofPriority, other.organisation)
        }
      } else if (other.costMs <= costMs) {
        countIn(ahead, other)
        startMs += other.costMs
      } else {
        restMs += other.costMs
      }
    }
    for (const other of peers) {
      if (other.organisation !== organisation) {
        const share = ofPriority.shares.get(other.organisation)
        if ((share?.countedMs ?? ofPriority.virtualMs) <= startMs) {
          countIn(ahead, other)
          if (share !== undefined) {
            share.countedMs += other.costMs
          }
        } else {
          restMs += other.costMs
        }
      }
    }
    return restMs
  }

  private classOf (priority: number): PriorityClass {
    let found = this.classes.get(priority)
    if (found === undefined) {
      found = { virtualMs: 0, shares: new Map() }
      this.classes.set(priority, found)
    }
    return found
  }

  private removeAt (index: number): QueuedStatement | undefined {
    const [statement] = index < 0 ? [] : this.waiting.splice(index, 1)
    this.organised -= (statement?.organisation ?? '') === '' ? 0 : 1
    return statement
  }

  /** Finds the statement that runs next without organisations. */
  private findShortest (): number {
    return this.findFirst((candidate, best) => isShorter(candidate, best))
  }

  /** Finds the statement that runs next under the fair order. */
  private findFair (): number {
    const now = performance.now()
    const first = this.findFirst((candidate, best) => this.precedes(candidate, best, now))
    if (this.waiting[first]!.priority === OPEN_TRANSACTION_PRIORITY) {
      return first
    }
    this.turns = (this.turns + 1) % LONGEST_WAIT_TURN
    return this.turns > 0
      ? first
      : this.findFirst((candidate, best) => usedWait(candidate, now) > usedWait(best, now))
  }

  /** Finds the first statement before which no other goes. */
  private findFirst (precedes: (candidate: QueuedStatement, best: QueuedStatement) => boolean): number {
    let best = 0
    for (let index = 1; index < this.waiting.length; index++) {
      if (precedes(this.waiting[index]!, this.waiting[best]!)) {
        best = index
      }
    }
    return best
  }

  /** Whether a statement goes before another one that has arrived earlier. */
  private precedes (candidate: QueuedStatement, other: QueuedStatement, now: number): boolean {
    const ofPriority = this.classOf(candidate.priority)
    const difference = candidate.priority - other.priority ||
      Number(isLateAt(candidate, now)) - Number(isLateAt(other, now)) ||
      virtualTimeOf(ofPriority, candidate.organisation) - virtualTimeOf(ofPriority, other.organisation) ||
      candidate.costMs - other.costMs
    return difference < 0
  }
}

/** Whether a statement goes before another one that has arrived earlier, without organisations. */
function isShorter (candidate: QueueRequest, other: QueueRequest): boolean {
  return candidate.priority < other.priority ||
    (candidate.priority === other.priority && candidate.costMs < other.costMs)
}

/** Whether a waiting statement can't meet its target any more. */
function isLateAt ({ costMs, dueInMs, queuedAt }: QueuedStatement, now: number): boolean {
  return costMs > dueInMs - (now - queuedAt)
}

/** Returns the part of its allowed wait that a statement has used. */
function usedWait ({ queuedAt, waitMs }: QueuedStatement, now: number): number {
  return (now - queuedAt) / Math.max(1, waitMs)
}

function countIn (ahead: WorkAhead, { costMs }: QueuedStatement): void {
  ahead.count++
  ahead.costMs += costMs
}

/** Returns the virtual start of an organisation's next statement. Time in which it had none is not credited. */
function virtualTimeOf ({ virtualMs, shares }: PriorityClass, organisation: string): number {
  return Math.max(virtualMs, shares.get(organisation)?.virtualMs ?? 0)
}

/** Makes room for one more share. Those that are not ahead of the class have no effect and are dropped first. */
function limitShares ({ virtualMs, shares }: PriorityClass): void {
  if (shares.size < MAXIMUM_ORGANISATIONS) {
    return
  }
  shares.forEach((share, organisation) => {
    if (share.virtualMs <= virtualMs) {
      shares.delete(organisation)
    }
  })
  if (shares.size >= MAXIMUM_ORGANISATIONS) {
    shares.clear()
  }
}
