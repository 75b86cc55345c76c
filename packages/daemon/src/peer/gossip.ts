import {
	jitter, sleep, type Clock, type Random,
} from '@apricotwood/clock';
import type {Log} from '@apricotwood/telemetry';
import type {AgreementReplica, VersionRecord} from '../control/agreement.js';
import type {HostDigest} from '../control/digest.js';
import type {HostView, Membership} from '../control/membership.js';
import type {PeerClient} from './client.js';
import type {PeerHandler} from './router.js';

/** Digests in one message, at most; keeps the message's size whatever the number of hosts. */
const MAX_DIGESTS_PER_MESSAGE = 4;
/** Peers that one version is pushed to before its acceptance is answered. */
const PUSH_FAN_OUT = 3;
const INTERVAL_JITTER_RATIO = 0.2;
/** Digests are remembered for passing on until this age, ms. */
const MAX_RELAYED_DIGEST_AGE_MS = 10_000;

export type GossipOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly hostId: string;
	readonly zone: string;
	readonly intervalMs: number;
	readonly membership: Membership;
	readonly book: AgreementReplica;
	readonly client: PeerClient;
	/** This host's own digest, newer at each call. */
	readonly createDigest: () => HostDigest;
};

/**
 * Push-pull exchange with one random peer at a time (Demers et al. 1987): a
 * message carries this host's digest and the newest few of others, so that its
 * size and rate do not grow with the number of hosts.
 */
export class Gossip implements PeerHandler {
	constructor(private readonly options: GossipOptions) {}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, intervalMs} = this.options;
		while (!signal.aborted) {
			await this.exchangeWithRandomPeer(); // eslint-disable-line no-await-in-loop
			await sleep(clock, jitter(random, intervalMs, INTERVAL_JITTER_RATIO), signal); // eslint-disable-line no-await-in-loop
		}
	}

	/** Exchanges digests with one peer; a silent peer is left to the suspicion level. */
	async exchangeWithRandomPeer(): Promise<void> {
		const {membership, client, book} = this.options;
		const [peer] = this.#pickRandomPeers(1, () => true);
		if (!peer) {
			return;
		}

		try {
			const digests = await client.exchange(peer.lease, this.#collectDigests());
			membership.recordPeerMessage();
			this.#applyDigests(digests);
			const peerVersion = digests.find(digest => digest.id === peer.lease.id)?.version ?? 0;
			if (peerVersion > book.state.version) {
				this.#applyRecords(await client.recordsSince(peer.lease, book.state.version));
			}
		} catch (error) {
			this.options.log.debug({event: 'peer-silent', peer: peer.lease.id, reason: (error as Error).message});
		}
	}

	/** Pushes a version to a few peers, those of other zones first. @returns how many have taken it. */
	async pushVersion(record: VersionRecord): Promise<number> {
		const {zone, client, membership} = this.options;
		const otherZonePeers = this.#pickRandomPeers(PUSH_FAN_OUT, view => view.lease.zone !== zone);
		const sameZonePeers = otherZonePeers.length < PUSH_FAN_OUT ? this.#pickRandomPeers(PUSH_FAN_OUT - otherZonePeers.length, view => view.lease.zone === zone) : [];
		const results = await Promise.allSettled([...otherZonePeers, ...sameZonePeers].map(async ({lease}) => client.offer(lease, record)));
		const acceptedCount = results.filter(result => result.status === 'fulfilled').length;
		if (acceptedCount > 0) {
			membership.recordPeerMessage();
		}

		return acceptedCount;
	}

	exchange(digests: readonly HostDigest[]): HostDigest[] {
		this.options.membership.recordPeerMessage();
		this.#applyDigests(digests);
		return this.#collectDigests();
	}

	offer(record: VersionRecord): number {
		const {book, membership} = this.options;
		membership.recordPeerMessage();
		const versionBefore = book.state.version;
		book.addRecord(record);
		if (book.state.version > versionBefore) {
			void this.pushVersion(record);
		}

		return book.state.version;
	}

	recordsSince(version: number): VersionRecord[] {
		return this.options.book.recordsSince(version);
	}

	#applyRecords(records: readonly VersionRecord[]): void {
		for (const record of records) {
			this.options.book.addRecord(record);
		}
	}

	#applyDigests(digests: readonly HostDigest[]): void {
		for (const digest of digests) {
			if (digest.id !== this.options.hostId) {
				this.options.membership.applyDigest(digest);
			}
		}
	}

	#collectDigests(): HostDigest[] {
		const {membership, clock} = this.options;
		const oldestMs = clock.monotonic() - MAX_RELAYED_DIGEST_AGE_MS;
		const relayable = membership.peers.filter(view => view.digest !== undefined && view.digestReceivedAtMs > oldestMs);
		relayable.sort((a, b) => b.digestReceivedAtMs - a.digestReceivedAtMs);
		const digests: HostDigest[] = [this.options.createDigest()];
		for (const {digest} of relayable.slice(0, MAX_DIGESTS_PER_MESSAGE - 1)) {
			if (digest) {
				digests.push(digest);
			}
		}

		return digests;
	}

	/** Picks random peers without repetition. */
	#pickRandomPeers(count: number, matches: (view: HostView) => boolean): HostView[] {
		const candidates = this.options.membership.peers.filter(view => matches(view));
		const picked: HostView[] = [];
		while (picked.length < count && candidates.length > 0) {
			const index = Math.floor(this.options.random.next() * candidates.length);
			picked.push(...candidates.splice(index, 1));
		}

		return picked;
	}
}
