import {CallKind} from './records.js';

/** Timeouts of the routes by kind of call, ms; `undefined` for a route without one. Those of the first three are set by `createOperatorConfig`. */
export const ROUTE_TIMEOUTS_MS: Readonly<Record<CallKind, number | undefined>> = {
	[CallKind.Read]: 1500, [CallKind.Book]: 1500, [CallKind.Load]: 1500, [CallKind.Timed]: 4000, [CallKind.Long]: undefined,
};

/** Creates the rows of the routes for calls that take up to seconds, in the order of the columns of `createOperatorConfig`. */
export function createLongRoutes(service: string): Array<readonly unknown[]> {
	return [
		['long', 'a.example', '/long/', 'upload', null, '600ms', 1, service, 2, true, [], null],
		['timed', 'a.example', '/timed/', 'non_idempotent', `${ROUTE_TIMEOUTS_MS[CallKind.Timed]}ms`, '600ms', 1, service, 2, true, [], null],
	];
}
