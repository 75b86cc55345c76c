/** What a finished attempt says about its worker. */
export enum AttemptSign {
	Good = 'good',
	/** The worker failed the request, or spoilt or lost its answer. */
	Failed = 'failed',
	/** The worker would not take the request. It may shed part of its requests while it has room, so it gets others. */
	Shed = 'shed',
	/** No connection, or it broke before an answer. */
	Unreachable = 'unreachable',
	/** Another worker has the address. */
	Replaced = 'replaced',
}

type Record = {
	/** Smoothed part of attempts that failed, 0 to 1. */
	failing: number;
	attempts: number;
	/** Unreachable attempts in a row. */
	strikes: number;
	/** Monotonic ms until which the worker gets nothing. */
	restsUntilMs: number;
	/** Whether a status check must pass before the worker gets work again. */
	needsCheck: boolean;
};

const SMOOTHING = 0.2;
/** A worker that fails more than this part of its attempts rests. */
const FAILING_BOUND = 0.8;
const MIN_ATTEMPTS = 4;
/** Rest of a worker that fails a part of its attempts, ms. */
const FAILING_REST_MS = 1500;
const FIRST_STRIKE_REST_MS = 400;
const MAX_STRIKE_REST_MS = 3000;

/**
 * Judges workers by their answers, not by their status checks: a worker may
 * fail, or shed, part of its requests while its check is good. A worker that
 * cannot be reached rests for a growing span and must then pass a check, which
 * also tells whether it has come back cold. Instants are monotonic ms.
 */
export class WorkerJudge {
	readonly #records = new Map<number, Record>();

	sign(worker: number, sign: AttemptSign, nowMs: number): void {
		const record = this.#of(worker);
		record.attempts++;
		switch (sign) {
			case AttemptSign.Good: {
				record.strikes = 0;
				record.failing *= 1 - SMOOTHING;
				break;
			}

			case AttemptSign.Failed: {
				this.#recordFailure(record, nowMs);
				break;
			}

			case AttemptSign.Shed: {
				record.failing += (1 - record.failing) * SMOOTHING;
				break;
			}

			case AttemptSign.Unreachable:
			case AttemptSign.Replaced: {
				record.strikes++;
				record.needsCheck = true;
				rest(record, Math.min(MAX_STRIKE_REST_MS, FIRST_STRIKE_REST_MS * (2 ** (record.strikes - 1))), nowMs);
				break;
			}
		}
	}

	/** Whether the worker may get work. */
	isTrusted(worker: number, nowMs: number): boolean {
		const record = this.#records.get(worker);
		return record === undefined || (!record.needsCheck && record.restsUntilMs <= nowMs);
	}

	/** Whether a status check is due. */
	isCheckDue(worker: number, nowMs: number): boolean {
		const record = this.#records.get(worker);
		return record !== undefined && record.needsCheck && record.restsUntilMs <= nowMs;
	}

	/** Takes the result of a status check. */
	recordCheck(worker: number, isGood: boolean, nowMs: number): void {
		if (!isGood) {
			this.sign(worker, AttemptSign.Unreachable, nowMs);
			return;
		}

		const record = this.#of(worker);
		record.needsCheck = false;
		record.failing = 0;
		record.attempts = 0;
	}

	/** Part of its attempts that a worker fails, 0 to 1. */
	failing(worker: number): number {
		return this.#records.get(worker)?.failing ?? 0;
	}

	/** A worker that has started anew is judged anew. */
	forget(worker: number): void {
		this.#records.delete(worker);
	}

	#recordFailure(record: Record, nowMs: number): void {
		record.failing += (1 - record.failing) * SMOOTHING;
		if (record.attempts >= MIN_ATTEMPTS && record.failing > FAILING_BOUND) {
			rest(record, FAILING_REST_MS, nowMs);
			record.failing = FAILING_BOUND / 2;
		}
	}

	#of(worker: number): Record {
		let record = this.#records.get(worker);
		if (!record) {
			record = {failing: 0, attempts: 0, strikes: 0, restsUntilMs: 0, needsCheck: false};
			this.#records.set(worker, record);
		}

		return record;
	}
}

function rest(record: Record, spanMs: number, nowMs: number): void {
	record.restsUntilMs = Math.max(record.restsUntilMs, nowMs + spanMs);
}
