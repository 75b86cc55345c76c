import {sleep, type Clock} from '@apricotwood/clock';
import type {
	LoadTracker, ObjectCacheModel, ReportInterval,
} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {ReplicatedState} from '../state/replicated-state.js';
import type {DatagramChannel} from './channel.js';
import {HeartbeatReceiver} from './heartbeat-receiver.js';
import {HeartbeatSender} from './heartbeat-sender.js';
import {HostEntryQueue} from './host-entry-queue.js';
import type {MemberList} from './members.js';
import {RelaySelector} from './relays.js';
import type {PeerReports} from './reports.js';
import {StateFollower, type CatchUpSource} from './state-follower.js';
import {ZoneSummaries} from './zone-summaries.js';

/** Time between two regular heartbeats, ms. */
const HEARTBEAT_INTERVAL_MS = 200;
/** Shortest time from a load report to the next heartbeat, including the interval before it, as a ratio of the report interval; a later report would add nothing to the heartbeat. */
const MIN_TIME_TO_HEARTBEAT_RATIO = 1.5;
/** Lower bound of the time between two load reports for each known host, ms. Bounds what a host receives, as every host sends reports. */
const REPORT_INTERVAL_PER_HOST_MS = 4;

/** Dependencies of a `HeartbeatService`. */
export type HeartbeatServiceDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly members: MemberList;
	readonly state: ReplicatedState;
	readonly load: LoadTracker;
	readonly objectCaches: ObjectCacheModel;
	readonly reports: PeerReports;
	readonly channel: DatagramChannel;
	readonly catchUp: CatchUpSource;
	readonly isReady: () => boolean;
	readonly isSourceFailing: () => boolean;
	readonly reportInterval: ReportInterval;
};

/**
 * Sends and receives heartbeats: announces this host's status, load and
 * replication status (`HeartbeatSender`), records those of the other hosts
 * (`HeartbeatReceiver`), and requests missing changes from peers that are ahead
 * (`StateFollower`). Between two regular heartbeats, load reports follow as often
 * as the duration of the requests demands. Reports, such as the rate limits that
 * workers name, follow a regular heartbeat in messages of their own; urgent ones
 * are sent between heartbeats.
 */
export class HeartbeatService {
	readonly #sender: HeartbeatSender;
	readonly #receiver: HeartbeatReceiver;

	constructor(private readonly deps: HeartbeatServiceDeps) {
		const relaySelector = new RelaySelector(deps.members);
		const hostEntries = new HostEntryQueue(deps.members);
		const zoneSummaries = new ZoneSummaries({...deps, relaySelector});
		this.#sender = new HeartbeatSender({
			...deps, relaySelector, zoneSummaries, hostEntries,
		});
		const stateFollower = new StateFollower({...deps, relaySelector, sender: this.#sender});
		this.#receiver = new HeartbeatReceiver({
			...deps, relaySelector, zoneSummaries, hostEntries, sender: this.#sender, stateFollower,
		});
	}

	/** Records that a request for an object was sent to a worker, to be included in the next heartbeat. */
	recordSentRequest(workerHash: number, objectHash: number): void {
		this.#sender.recordSentRequest(workerHash, objectHash);
	}

	/** Sends a heartbeat immediately; used for the regular ones and between them. */
	send(): void {
		this.#sender.send();
	}

	/** Sends what there is to report without waiting for the next heartbeat. */
	sendReports(): void {
		this.#sender.sendReports();
	}

	/** Sends a heartbeat with this host's entry to an address whose host may not know this one. */
	announceTo(ip: string, port: number): void {
		this.#sender.announceTo({ip, port});
	}

	/** Sends heartbeats and handles received ones until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, channel, members: {self}} = this.deps;
		await channel.open({ip: self.ip, port: self.peerPort}, (bytes, from) => {
			this.#receiver.receive(bytes, from, signal);
		});
		try {
			while (!signal.aborted) {
				this.send();
				const nextMs = clock.monotonic() + HEARTBEAT_INTERVAL_MS;
				await this.#reportLoadUntil(nextMs, signal); // eslint-disable-line no-await-in-loop
			}
		} finally {
			channel.close();
		}
	}

	/** Sends load reports until a regular heartbeat is due. */
	async #reportLoadUntil(endMs: number, signal: AbortSignal): Promise<void> {
		const {clock, members, reportInterval} = this.deps;
		while (!signal.aborted) {
			const leftMs = endMs - clock.monotonic();
			const intervalMs = Math.max(reportInterval.ms, members.count * REPORT_INTERVAL_PER_HOST_MS);
			const isLast = leftMs < intervalMs * MIN_TIME_TO_HEARTBEAT_RATIO;
			await sleep(clock, Math.max(1, isLast ? leftMs : intervalMs), signal); // eslint-disable-line no-await-in-loop
			if (isLast) {
				return;
			}

			this.#sender.sendLoadReport();
		}
	}
}
