import {
	Priority, RepeatPolicy, type AgreementState, type Member,
} from '@apricotwood/agreement';
import {mixHashes, parseAddress, type BlockTable} from '@apricotwood/blocks';
import type {Clock} from '@apricotwood/clock';
import type {TicketSigner} from '@apricotwood/once';
import {
	chooseRegion, rankHosts, type RankedHost, type RegionChoice,
} from '@apricotwood/routing';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {Membership} from '../control/membership.js';
import {
	RejectionCode, rejectRetryable, rejectNotRun, type Rejection,
} from '../request/rejection.js';
import type {HostDirectory} from './directory.js';

export type LookupOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly directory: HostDirectory;
	readonly membership: Membership;
	readonly signer: TicketSigner;
	readonly state: () => AgreementState;
	readonly blocks: () => BlockTable;
	readonly ttlMs: number;
	readonly ticketTtlMs: number;
	readonly maxHosts: number;
};

/** What a look-up asks. */
export type LookupQuery = {
	readonly service: string;
	readonly member: string;
	/** IP number of the caller. */
	readonly addr: string;
};

/** A decided look-up, before it is written out. */
export type LookupDecision = {
	readonly state: AgreementState;
	readonly choice: RegionChoice;
	readonly home: string | undefined;
	readonly site: string | undefined;
	readonly ranked: readonly RankedHost[];
	readonly candidates: number;
};

export type LookupResult = {readonly ok: true; readonly body: string} | {readonly ok: false; readonly refusal: Rejection};
export type DecideResult = {readonly ok: true; readonly decision: LookupDecision} | {readonly ok: false; readonly refusal: Rejection};

/** A ticket is handed out again for this part of its life. */
const TICKET_REUSE_FRACTION = 0.1;
const MAX_CACHED_TICKETS = 50_000;

type CachedTicket = {readonly text: string; readonly reuseUntilMs: number};

/** Answers look-ups: which entry hosts a caller should use, in which order. */
export class Lookup {
	#tickets = new Map<string, CachedTicket>();

	constructor(private readonly options: LookupOptions) {}

	/** Answers one look-up with the JSON text of `docs/api.md` and logs the decision. */
	answer(query: LookupQuery): LookupResult {
		const decided = this.decide(query);
		if (!decided.ok) {
			this.#logRefusal(query, decided.refusal);
			return decided;
		}

		const {decision} = decided;
		this.#logDecision(query, decision);
		this.options.metrics.count('lookups');
		return {ok: true, body: this.#serialize(query, decision)};
	}

	/** Decides a look-up without answering it. */
	decide({service: name, member: memberName, addr}: LookupQuery): DecideResult {
		const {clock, directory, maxHosts} = this.options;
		const state = this.options.state();
		const service = state.services.get(name);
		const member = state.members.get(memberName);
		const address = parseAddress(addr);
		const refusal = validateQuery(state, {service: name, member: memberName, addr}, member, address !== undefined);
		if (refusal) {
			return {ok: false, refusal};
		}

		if (!service || !member || !address) {
			return {ok: false, refusal: rejectNotRun(RejectionCode.BadRequest, 400, 'the look-up cannot be read')};
		}

		const match = this.options.blocks().find(address);
		const home = match && state.regionOfSite(match.site);
		const callerHash = mixHashes(address.high, address.low);
		const isUsable = (region: string, wanted: string) => directory.hostsOf(region, wanted).length > 0;
		const choice = chooseRegion(state, name, home, callerHash, clock.now(), isUsable);
		if (!choice) {
			return {ok: false, refusal: rejectRetryable(RejectionCode.NoRoom, `no host can serve ${name} for ${addr} now`, 1000)};
		}

		const zone = match && state.zoneOfSite(match.site);
		const nearZone = state.agreement.priority === Priority.Latency && choice.region === home ? zone : undefined;
		const hosts = directory.hostsOfMember(choice.region, name, memberName, state.capsOf(member, name));
		const ranked = rankHosts(hosts, callerHash, nearZone, maxHosts);
		return {
			ok: true, decision: {
				state, choice, home, site: match?.site, ranked, candidates: hosts.length,
			},
		};
	}

	#serialize({service, member}: LookupQuery, {state, choice, ranked}: LookupDecision): string {
		const hosts = ranked.map(entry => serializeHost(entry));
		const ticket = this.#ticketFor(service, member, state, ranked);
		const ticketField = ticket === undefined ? '' : `,"ticket":"${ticket}"`;
		return `{"version":${state.version},"ttlMs":${this.options.ttlMs},"service":"${service}","region":"${choice.region}","reason":"${choice.reason}","hosts":[${hosts.join(',')}]${ticketField}}`;
	}

	/** A ticket for the first host, for services whose requests may not be repeated. */
	#ticketFor(service: string, member: string, state: AgreementState, ranked: readonly RankedHost[]): string | undefined {
		const [first] = ranked;
		const lease = first && this.options.membership.get(first.host.id)?.lease;
		if (!lease || state.services.get(service)?.repeat === RepeatPolicy.Idempotent) {
			return undefined;
		}

		const nowMs = this.options.clock.now();
		const key = `${lease.id}/${lease.incarnation}/${member}/${service}`;
		const cached = this.#tickets.get(key);
		if (cached && cached.reuseUntilMs > nowMs) {
			return cached.text;
		}

		const expiresAtMs = nowMs + this.options.ticketTtlMs;
		const text = this.options.signer.sign({
			host: lease.id, incarnation: lease.incarnation, member, service, expiresAtMs,
		});
		if (this.#tickets.size >= MAX_CACHED_TICKETS) {
			this.#tickets = new Map();
		}

		this.#tickets.set(key, {text, reuseUntilMs: nowMs + (this.options.ticketTtlMs * TICKET_REUSE_FRACTION)});
		return text;
	}

	#logDecision({service, member, addr}: LookupQuery, {state, choice, home, site, ranked, candidates}: LookupDecision): void {
		this.options.log.info({
			event: 'lookup',
			service,
			member,
			addr,
			site,
			home,
			region: choice.region,
			reason: choice.reason,
			shift: choice.shift?.name,
			hosts: ranked.map(({host}) => host.id),
			weights: ranked.map(({weight}) => roundWeight(weight)),
			rejected: candidates - ranked.length,
			version: state.version,
		});
	}

	#logRefusal({service, member, addr}: LookupQuery, {code, message}: Rejection): void {
		this.options.metrics.count('lookups.refused');
		this.options.log.info({
			event: 'lookup-refused', service, member, addr, code, reason: message,
		});
	}
}

/** Names and addresses hold no character that JSON would escape. */
function serializeHost({host, weight}: RankedHost): string {
	const {id, address, port, region, zone} = host;
	return `{"id":"${id}","address":"${address}","port":${port},"region":"${region}","zone":"${zone}","weight":${roundWeight(weight)}}`;
}

function roundWeight(weight: number): number {
	return Math.round(weight * 1000) / 1000;
}

function validateQuery(state: AgreementState, {service, member: memberName, addr}: LookupQuery, member: Member | undefined, isAddress: boolean): Rejection | undefined {
	const problems: string[] = [];
	if (!state.services.has(service)) {
		problems.push(`service: "${service}" is not a service of the agreement`);
	}

	if (!member) {
		problems.push(`member: "${memberName}" is not a member of the agreement`);
	} else if (state.capsOf(member, service).length === 0) {
		problems.push(`member: ${memberName} has no cap for ${service}, so it may not use it`);
	}

	if (!isAddress) {
		problems.push(`addr: "${addr}" is not an IP number`);
	}

	if (problems.length === 0) {
		return undefined;
	}

	const code = state.services.has(service) ? (member ? RejectionCode.BadRequest : RejectionCode.UnknownMember) : RejectionCode.UnknownService;
	return rejectNotRun(code, code === RejectionCode.BadRequest ? 400 : 404, problems.join('\n'));
}
