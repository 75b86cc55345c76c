import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Intake} from '@apricotwood/admission';
import {parsePatch} from '@apricotwood/agreement';
import {FindingsError} from '@apricotwood/findings';
import {PlatformError} from '@apricotwood/store';
import type {Log} from '@apricotwood/telemetry';
import {CommitOutcome, type AgreementReplica, type VersionRecord} from '../control/agreement.js';
import type {LedgerAgent} from '../control/ledger.js';
import type {Membership} from '../control/membership.js';
import {holderOf} from '../host/identity.js';
import {type HostPhase} from '../host/phase.js';
import type {Lookup} from '../lookup/lookup.js';
import {BodyResult, readBody} from '../request/body.js';
import {matchesKeyHash} from '../request/request-reader.js';
import type {Settings} from '../settings/schema.js';
import {sendJson} from './json.js';

/** Largest request body that carries a patch, bytes. */
const MAX_PATCH_BODY_BYTES = 8 * 1024 * 1024;
/** Number of newest versions that the history covers when the query gives no start. */
const DEFAULT_HISTORY_VERSIONS = 50;

/** Dependencies of the operators' API. */
export type OperatorOptions = {
	readonly operators: Settings['operators'];
	readonly book: AgreementReplica;
	readonly membership: Membership;
	readonly ledger: LedgerAgent;
	readonly lookup: Lookup;
	readonly log: Log;
	readonly intake: Intake;
	/** Pushes an accepted version to peers and resolves to the number of peers that accepted it. */
	readonly pushVersion: (record: VersionRecord) => Promise<number>;
	/** This host's id, phase, agreement version and the keys of its pending resources. */
	readonly getOwnStatus: () => {readonly id: string; readonly phase: HostPhase; readonly version: number; readonly pending: readonly string[]};
};

/** A request error that the operator can correct; `status` is the HTTP status of the response. */
class OperatorError extends Error {
	override readonly name = 'OperatorError';

	constructor(readonly status: number, message: string) {
		super(message);
	}
}

/** Implements the operators' API; `docs/api.md` specifies it. */
export class OperatorApi {
	constructor(private readonly options: OperatorOptions) {}

	/** Authenticates the operator, runs `operation` with the operator's name, and sends its result or error as JSON. */
	async handle(req: IncomingMessage, res: ServerResponse, operation: (operator: string) => unknown): Promise<void> {
		try {
			const operator = this.#authenticate(req);
			sendJson(res, 200, await operation(operator));
		} catch (error) {
			this.#sendError(res, error as Error);
		}
	}

	/** Returns the agreement in force on this host and its version. */
	getAgreement(): unknown {
		const {book} = this.options;
		return {version: book.state.version, agreement: book.fullAgreement};
	}

	/**
	 * Returns the accepted versions after a version number, by default the newest `DEFAULT_HISTORY_VERSIONS`.
	 * @throws {OperatorError} 400 when `after` is not an integer.
	 */
	getHistory(after: string | undefined): unknown {
		const {version} = this.options.book.state;
		const sinceVersion = after === undefined ? Math.max(0, version - DEFAULT_HISTORY_VERSIONS) : Number(after);
		if (!Number.isInteger(sinceVersion)) {
			throw new OperatorError(400, 'after: must be an integer version number');
		}

		return {version, records: this.options.book.recordsSince(sinceVersion)};
	}

	/**
	 * Commits a patch and, unless it was committed before, pushes the new version to peers, other zones first, before it returns.
	 * A patch against an older version sets status 409 and returns the versions accepted since.
	 */
	async commitPatch(req: IncomingMessage, res: ServerResponse, operator: string): Promise<unknown> {
		const patch = parsePatch(await readJsonBody(req, this.options.intake));
		const commit = await this.options.book.commit(patch, operator);
		if (commit.outcome === CommitOutcome.Stale) {
			this.options.log.info({
				event: 'patch-stale', operator, patch: patch.id, against: patch.against, version: commit.current,
			});
			res.statusCode = 409;
			return {
				code: 'stale', message: `the agreement is at version ${commit.current}, not ${patch.against}; recreate the patch for the current version`, version: commit.current, since: commit.since,
			};
		}

		const {record, isRepeat} = commit;
		const peers = isRepeat ? 0 : await this.options.pushVersion(record);
		this.options.log.info({
			event: 'patch-accepted', operator, patch: patch.id, version: record.version, isRepeat, peers, changes: isRepeat ? undefined : record.changes,
		});
		return {
			version: record.version, patchId: record.patchId, isRepeat, peers,
		};
	}

	/** Returns the agreement version in force on each host and its pending resources. */
	getStatus(): unknown {
		const {membership, getOwnStatus} = this.options;
		const ownStatus = getOwnStatus();
		const hosts = membership.peers.map(({lease, digest}) => ({
			id: lease.id, phase: digest?.phase ?? lease.phase, version: digest?.version, pending: digest?.pending ?? [],
		}));
		return {version: ownStatus.version, hosts: [ownStatus, ...hosts]};
	}

	/** Returns the hosts that have a lease, with their phase and whether they may receive requests. */
	listHosts(): unknown {
		const {membership, getOwnStatus} = this.options;
		return {
			hosts: membership.hosts.map(view => ({
				id: view.lease.id,
				incarnation: view.lease.incarnation,
				address: view.lease.address,
				port: view.lease.port,
				region: view.lease.region,
				zone: view.lease.zone,
				phase: view.lease.id === getOwnStatus().id ? getOwnStatus().phase : view.digest?.phase ?? view.lease.phase,
				isUsable: membership.isUsable(view),
				renewedAtMs: view.lease.renewedAtMs,
			})),
		};
	}

	/** Returns every resource with its limit and the units that each holder has. */
	getLedger(): unknown {
		const {ledger} = this.options;
		return {
			resources: ledger.resources.map(({key, limit}) => ({key, limit, held: ledger.rowOf(key).held})),
		};
	}

	/**
	 * Returns the routing decision for a member's request from an address, without serving it.
	 * @throws {OperatorError} with the refusal's status when the look-up is refused.
	 */
	explain(query: URLSearchParams): unknown {
		const result = this.options.lookup.decide({service: query.get('service') ?? '', member: query.get('member') ?? '', addr: query.get('addr') ?? ''});
		if (!result.ok) {
			throw new OperatorError(result.refusal.status, result.refusal.message);
		}

		const {choice, home, site, ranked, candidates, state} = result.decision;
		return {
			version: state.version,
			site,
			home,
			region: choice.region,
			reason: choice.reason,
			shift: choice.shift?.name,
			candidates,
			hosts: ranked.map(({host, weight}) => ({
				id: host.id, zone: host.zone, region: host.region, weight, units: this.#countHeldUnits(host.id, query.get('service') ?? '', choice.region),
			})),
		};
	}

	#countHeldUnits(hostId: string, service: string, region: string): number {
		const {membership, ledger, book} = this.options;
		const view = membership.get(hostId);
		let units = 0;
		for (const worker of book.state.workersIn(region, service)) {
			units += view ? ledger.unitsHeldBy(`worker/${worker.name}`, holderOf(view.lease)) : 0;
		}

		return units;
	}

	#authenticate(req: IncomingMessage): string {
		const {operators} = this.options;
		if (operators.length === 0) {
			return 'local';
		}

		const [, token] = /^Bearer (.+)$/.exec(req.headers.authorization ?? '') ?? [];
		for (const {name, tokenHash} of operators) {
			if (token !== undefined && matchesKeyHash(token, tokenHash)) {
				return name;
			}
		}

		throw new OperatorError(401, 'missing or invalid operator token; send it as "Authorization: Bearer TOKEN"');
	}

	#sendError(res: ServerResponse, error: Error): void {
		if (error instanceof FindingsError) {
			sendJson(res, 400, {code: 'findings', message: error.message, findings: error.findings});
			return;
		}

		if (error instanceof PlatformError) {
			sendJson(res, 503, {code: 'no-store', message: `${error.message}; retry later with the same patch id, which is applied at most once`});
			return;
		}

		if (error instanceof OperatorError) {
			sendJson(res, error.status, {code: 'refused', message: error.message});
			return;
		}

		this.options.log.error({event: 'internal-error', message: error.stack});
		sendJson(res, 500, {code: 'internal', message: 'internal error; the host\'s log has the stack trace'});
	}
}

async function readJsonBody(req: IncomingMessage, intake: Intake): Promise<unknown> {
	// A body that stops is bounded by the guard of its connection alone.
	const {result, body} = await readBody(req, MAX_PATCH_BODY_BYTES, intake, new AbortController().signal);
	if (result === BodyResult.TooLarge) {
		throw new OperatorError(413, `the request body exceeds ${MAX_PATCH_BODY_BYTES} bytes; split the patch`);
	}

	try {
		return JSON.parse(body?.toString() ?? '');
	} catch (error) {
		throw new OperatorError(400, `the request body is not valid JSON: ${(error as Error).message}`);
	}
}
