import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
	AgreementState, Cap, Member, RepeatPolicy, Service, Shift,
} from '@apricotwood/agreement';
import type {ResourceClaim} from '@apricotwood/ledger';
import type {Attempt} from '../upstream/attempt.js';
import type {CallerHeaders} from './headers.js';

/** A validated request and the properties that placement and execution use. */
export type RequestContext = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Agreement version used for all decisions about this request. */
	readonly state: AgreementState;
	readonly service: Service;
	readonly member: Member;
	readonly caps: readonly Cap[];
	readonly headers: CallerHeaders;
	/** Id of the request in log lines; the caller's request id if it sent one. */
	readonly logId: string;
	readonly repeat: RepeatPolicy;
	/** Path sent to the worker: the part after the service name, starting with `/`. */
	readonly path: string;
	readonly callerAddress: string;
	/** Home region: the region of the address block that contains the caller; `undefined` if there is none. */
	readonly home: string | undefined;
	/** Whether another host forwarded the request; it is then not forwarded again. */
	readonly isForwarded: boolean;
	/** Start time, monotonic ms. */
	readonly startedMs: number;
	/** Deadline, monotonic ms. */
	readonly deadlineAtMs: number;
	/** Attempts at workers and other hosts, in the order of their starts. */
	readonly attempts: Attempt[];
};

/** Resource claims of a request in addition to a worker's unit. */
export type CrossRegionClaims = {
	/** Shift that allows serving the caller's region here; `undefined` for callers of this region. */
	readonly shift: Shift | undefined;
	readonly claims: readonly ResourceClaim[];
};
