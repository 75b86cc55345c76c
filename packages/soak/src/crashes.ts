import {isUndisturbed, type SoakRecords} from './records.js';
import type {Violation} from './violation.js';

/** Time after the third crash from which further arrivals count, ms. */
const LEARNING_MS = 3000;
/** Crashes after which the arrivals of a request count. */
const MAX_CRASHES = 3;
/** Arrivals that are allowed then. */
const MAX_LATER_ARRIVALS = 3;
/** Rejections of requests that are taken for the cause of crashes, as in the response body. */
const REFUSAL = /"error":"(?:quarantined|suspect)"/;

/** A request that crashes the workers which run it is not sent to further ones after three crashes, and no other request is taken for it. */
export function checkCrashes(records: SoakRecords): Violation[] {
	const crashingUrls = new Set(records.crashingRequests.map(({url}) => url));
	const refused = records.calls.filter(({url, answer}) => REFUSAL.test(answer) && !crashingUrls.has(url));
	return [
		...records.crashingRequests.flatMap(({url}) => checkArrivals(records, url)),
		...refused.map(({id, answer}) => ({promise: 'crash', subject: id, message: `refused as the cause of crashes: ${answer}`})),
	];
}

function checkArrivals(records: SoakRecords, url: string): Violation[] {
	const crashes = records.runs.filter(run => run.url === url).toSorted((a, b) => a.atMs - b.atMs);
	const third = crashes[MAX_CRASHES - 1];
	if (!third) {
		return [];
	}

	const calls = new Map(records.calls.filter(call => call.url === url).map(call => [call.id, call]));
	const later = records.arrivals.filter(({id, atMs}) => atMs > third.atMs + LEARNING_MS && isUndisturbed(records, third.atMs, atMs, [calls.get(id)?.host]) && calls.has(id));
	return later.length > MAX_LATER_ARRIVALS
		? [{promise: 'crash', subject: url, message: `reached workers ${later.length} times later than ${LEARNING_MS} ms after the third crash; ${crashes.length} crashes`}]
		: [];
}
