import {
	CallEnd, isUndisturbed, type Call, type Disturbance, type SoakRecords,
} from './records.js';
import type {Violation} from './violation.js';

/** Time after a host has lost its path to the workers from which its calls count, ms. */
const LEARNING_MS = 3000;
/** Least ratio of calls that are served at isolated hosts, compared with the others. */
const MIN_SERVED_RATIO = 2 / 3;
/** Calls by which a host may serve fewer than it would as often as the others: this number, and a ratio of all calls. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_RATIO = 0.02;
/** Largest distance of calls that are compared, ms. */
const CONCURRENT_MS = 250;

/** Calls that are compared for one period in which a host reached no worker. */
type Comparison = {
	readonly isolated: readonly Call[];
	/** Calls at hosts that reached workers. */
	readonly others: readonly Call[];
	/** Number of calls at undisturbed hosts in the period, those at further hosts without workers included. */
	readonly callCount: number;
};

/** Calls at hosts that reach no worker are served nearly as often as those at the others. Where there are no calls at others, nothing is compared, see `countUncompared`. */
export function checkIsolation(records: SoakRecords): Violation[] {
	return records.isolations.flatMap(isolation => checkPeriod(isolation, compare(records, isolation)));
}

/** Number of periods in which calls at a host that reached no worker could not be compared, as all other hosts were disturbed or isolated, too. */
export function countUncompared(records: SoakRecords): number {
	return records.isolations.filter(isolation => {
		const {isolated, others} = compare(records, isolation);
		return isolated.length > 0 && others.length === 0;
	}).length;
}

function compare(records: SoakRecords, {subject, fromMs, untilMs}: Disturbance): Comparison {
	const counted = records.calls.filter(({host, sentAtMs, endAtMs, end}) => end !== CallEnd.GaveUp && sentAtMs > fromMs + LEARNING_MS && endAtMs < untilMs
		&& isUndisturbed(records, fromMs, endAtMs, [host]));
	const isolated = counted.filter(({host}) => host === subject);
	const others = counted.filter(({host}) => !records.isolations.some(isolation => isolation.subject === host && isolation.fromMs < untilMs && isolation.untilMs > fromMs));
	return {isolated, others, callCount: counted.length};
}

function checkPeriod({subject}: Disturbance, {isolated, others, callCount}: Comparison): Violation[] {
	if (others.length === 0) {
		return [];
	}

	const expected = computeExpected(isolated, others);
	const missing = expected - countServed(isolated);
	const allowed = ALLOWED_FAILURES + (ALLOWED_FAILURE_RATIO * callCount);
	const isWorse = countServed(isolated) < MIN_SERVED_RATIO * expected;
	return isWorse && missing > allowed
		? [{promise: 'isolated', subject, message: `served ${countServed(isolated)} of ${isolated.length} calls while it reached no worker, the others ${countServed(others)} of ${others.length}`}]
		: [];
}

/** Number of calls that would have been served as often as the others at the same time. What all hosts fail alike for a while does not count, whichever of them got more calls then. */
function computeExpected(calls: readonly Call[], others: readonly Call[]): number {
	let expected = 0;
	for (const {sentAtMs} of calls) {
		const concurrent = others.filter(other => Math.abs(other.sentAtMs - sentAtMs) <= CONCURRENT_MS);
		expected += computeServedRatio(concurrent.length > 0 ? concurrent : others);
	}

	return expected;
}

/** Ratio of the calls that were served. @param calls at least one. */
function computeServedRatio(calls: readonly Call[]): number {
	return countServed(calls) / calls.length;
}

function countServed(calls: readonly Call[]): number {
	return calls.filter(({end, status}) => end === CallEnd.Answered && status === 200).length;
}
