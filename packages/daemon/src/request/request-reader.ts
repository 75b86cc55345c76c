import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	type AgreementState, type Member,
} from '@apricotwood/agreement';
import {parseAddress, type BlockTable} from '@apricotwood/blocks';
import type {Clock} from '@apricotwood/clock';
import {formatFindings} from '@apricotwood/findings';
import type {PeerAuth} from '../peer/auth.js';
import type {ForwardMetadata} from '../peer/forward.js';
import {RejectionCode, rejectNotRun, type Rejection} from './rejection.js';
import type {RequestContext} from './context.js';
import {readCallerHeaders, type CallerHeaders} from './headers.js';

/** Dependencies of {@link RequestReader}; `blocks` and `state` return the current agreement. */
export type RequestReaderOptions = {
	readonly clock: Clock;
	readonly auth: PeerAuth;
	readonly blocks: () => BlockTable;
	readonly state: () => AgreementState;
};

/** Result of {@link RequestReader.read}. */
export type RequestReadResult = {readonly ok: true; readonly ctx: RequestContext} | {readonly ok: false; readonly rejection: Rejection};

type ValidatedParts = Pick<RequestContext, 'service' | 'member' | 'caps' | 'headers'> & {
	readonly servicePath: string;
	readonly forwardNote: ForwardMetadata | undefined;
};

const SERVICE_PATH = /^\/s\/([^/?]+)(.*)$/s;
/** Maximum number of cached keys. */
const MAX_VERIFIED_KEYS = 10_000;

let requestSequence = 0;

/** Parses the request line and headers and validates them against the agreement. */
export class RequestReader {
	/** Cache of verified keys, so that a key is not hashed for each request. */
	readonly #verifiedKeys = new Set<string>();

	constructor(private readonly options: RequestReaderOptions) {}

	/** Validates a request and creates its context, or returns the rejection for the first failed check. */
	read(req: IncomingMessage, res: ServerResponse): RequestReadResult {
		const state = this.options.state();
		const [, serviceName = '', servicePath = ''] = SERVICE_PATH.exec(req.url ?? '') ?? [];
		const service = state.services.get(serviceName);
		if (!service) {
			return toRejectedResult(RejectionCode.UnknownService, 404, `"${serviceName}" is not a service of the agreement`);
		}

		const headersResult = readCallerHeaders(req);
		if (!headersResult.ok) {
			return toRejectedResult(RejectionCode.BadHeader, 400, formatFindings(headersResult.findings));
		}

		const {headers} = headersResult;
		const member = state.members.get(headers.member);
		if (!member) {
			return toRejectedResult(RejectionCode.UnknownMember, 403, `"${headers.member}" is not a member of the agreement`);
		}

		const caps = state.capsOf(member, serviceName);
		if (caps.length === 0) {
			return toRejectedResult(RejectionCode.NotAllowed, 403, `${member.name} has no cap for ${serviceName}, so it may not use it`);
		}

		if (!this.#isKeyValid(member, headers)) {
			return toRejectedResult(RejectionCode.BadKey, 401, 'the member\'s key is missing or wrong; send it as apricotwood-key');
		}

		const forwardNote = this.#readForwardNote(headers);
		if (forwardNote === undefined && headers.forward !== undefined) {
			return toRejectedResult(RejectionCode.BadHeader, 400, 'apricotwood-forward is reserved for requests between hosts; do not send it');
		}

		return this.#createContext(req, res, state, {
			service, member, caps, headers, servicePath, forwardNote,
		});
	}

	#createContext(req: IncomingMessage, res: ServerResponse, state: AgreementState, parts: ValidatedParts): RequestReadResult {
		const {service, member, caps, headers, servicePath, forwardNote} = parts;
		const startedMs = this.options.clock.monotonic();
		const deadlineMs = headers.deadlineMs ?? service.deadlineMs;
		if (deadlineMs <= 0) {
			return toRejectedResult(RejectionCode.DeadlinePassed, 408, 'the deadline has already passed');
		}

		const callerAddress = forwardNote?.caller ?? req.socket.remoteAddress ?? '';
		const ctx: RequestContext = {
			req,
			res,
			state,
			service,
			member,
			caps,
			headers,
			logId: headers.requestId ?? `r${requestSequence++}`,
			repeat: state.repeatPolicyOf(service, req.method ?? 'GET'),
			path: servicePath.startsWith('/') ? servicePath : `/${servicePath}`,
			callerAddress,
			home: this.#findHomeRegion(callerAddress, state),
			isForwarded: forwardNote !== undefined,
			startedMs,
			deadlineAtMs: startedMs + deadlineMs,
			attempts: [],
		};
		return {ok: true, ctx};
	}

	#findHomeRegion(address: string, state: AgreementState): string | undefined {
		const parsed = parseAddress(address);
		const match = parsed && this.options.blocks().find(parsed);
		return match && state.regionOfSite(match.site);
	}

	#readForwardNote({forward}: CallerHeaders): ForwardMetadata | undefined {
		return forward === undefined ? undefined : this.options.auth.verify(forward) as ForwardMetadata | undefined;
	}

	#isKeyValid({name, keyHash}: Member, {key}: CallerHeaders): boolean {
		if (keyHash === undefined) {
			return true;
		}

		if (key === undefined) {
			return false;
		}

		const cacheKey = `${name}/${keyHash}/${key}`;
		if (this.#verifiedKeys.has(cacheKey)) {
			return true;
		}

		const isValid = matchesKeyHash(key, keyHash);
		if (isValid && this.#verifiedKeys.size < MAX_VERIFIED_KEYS) {
			this.#verifiedKeys.add(cacheKey);
		}

		return isValid;
	}
}

/** Compares the SHA-256 hash of a key with a hash in hexadecimal, in constant time. */
export function matchesKeyHash(key: string, keyHash: string): boolean {
	return timingSafeEqual(createHash('sha256').update(key).digest(), Buffer.from(keyHash, 'hex'));
}

function toRejectedResult(code: RejectionCode, status: number, message: string): RequestReadResult {
	return {ok: false, rejection: rejectNotRun(code, status, message)};
}
