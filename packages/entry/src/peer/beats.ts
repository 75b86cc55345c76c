import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import type {Buffer} from 'node:buffer';
import {sleep, type Clock} from '@apricotwood/clock';
import type {LoadView, WarmObjects} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {HostEntry} from '../source.js';
import type {Question, SharedState} from '../state/shared.js';
import type {CatchUpClient} from './catch-up.js';
import type {Member, Members} from './members.js';
import {decodeBeat, encodeBeat, type Beat} from './message.js';

/** Span between two beats, ms. */
const BEAT_MS = 200;
/** Every so many beats carry the sender's entry. */
const ENTRY_EVERY = 8;
/** Silent hosts get only every so many beats, so that they are found again when they return. */
const SILENT_EVERY = 5;
/** Requests told in one beat; older ones are left out. */
const MAX_SENT = 200;

export type BeatsDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly self: HostEntry;
	readonly members: Members;
	readonly state: SharedState;
	readonly load: LoadView;
	readonly warm: WarmObjects;
	readonly catchUp: CatchUpClient;
	readonly isReady: () => boolean;
	readonly isSourceFailing: () => boolean;
	/** Called when peers' load has changed. */
	readonly onLoad: () => void;
};

/** Tells all other hosts what this one knows and does, several times a second, and hears the same from them. */
export class Beats {
	#socket: Socket | undefined;
	#count = 0;
	#sent: number[] = [];
	#isCatchingUp = false;

	constructor(private readonly deps: BeatsDeps) {}

	/** A request about an object was sent to a worker. */
	recordSent(worker: number, object: number): void {
		if (this.#sent.length < MAX_SENT * 2) {
			this.#sent.push(worker, object);
		}
	}

	async run(signal: AbortSignal): Promise<void> {
		const socket = createSocket('udp4');
		this.#socket = socket;
		socket.on('message', (bytes, from) => {
			this.#receive(bytes, from);
		});
		socket.on('error', error => {
			this.deps.log.warn({event: 'beat-error', message: error.message});
		});
		const {self, clock} = this.deps;
		await new Promise<void>(resolve => {
			socket.bind(self.peerPort, self.ip, resolve);
		});
		try {
			while (!signal.aborted) {
				this.send();
				await sleep(clock, BEAT_MS, signal); // eslint-disable-line no-await-in-loop
			}
		} finally {
			this.#socket = undefined;
			socket.close();
		}
	}

	/** Sends a beat now, beside the regular ones. */
	send(): void {
		const {members, clock} = this.deps;
		const nowMs = clock.monotonic();
		const beat = this.#compose();
		this.#sent = [];
		const plain = encodeBeat(beat);
		const withEntry = encodeBeat({...beat, host: this.deps.self});
		for (const member of members.all()) {
			const isAlive = members.isAlive(member, nowMs);
			if (!isAlive && this.#count % SILENT_EVERY !== 0) {
				continue;
			}

			this.#sendTo(member.entry, isAlive && this.#count % ENTRY_EVERY !== 0 ? plain : withEntry);
		}

		this.#count++;
	}

	/** Makes this host known to an address of which nothing else is known. */
	greet(ip: string, port: number): void {
		const beat = encodeBeat({...this.#compose(), host: this.deps.self});
		this.#socket?.send(beat, port, ip);
	}

	#sendTo({ip, peerPort}: HostEntry, bytes: Buffer): void {
		this.#socket?.send(bytes, peerPort, ip, error => {
			if (error) {
				this.deps.metrics.count('beats.unsent');
			}
		});
	}

	#compose(): Beat {
		const {state, load, isReady, isSourceFailing} = this.deps;
		return {
			isReady: isReady(),
			isSourceFailing: isSourceFailing(),
			...state.tell(),
			loads: load.ownCounts(),
			sent: this.#sent,
			host: undefined,
		};
	}

	#receive(bytes: Buffer, from: RemoteInfo): void {
		const beat = decodeBeat(bytes);
		if (!beat) {
			this.deps.metrics.count('beats.unreadable');
			return;
		}

		const {members, log} = this.deps;
		if (beat.host && members.put(beat.host)) {
			log.info({event: 'host', host: beat.host.id, zone: beat.host.zone, startedMs: beat.host.startedMs});
			this.greet(beat.host.ip, beat.host.peerPort);
		}

		const member = members.findByAddress(from.address, from.port);
		if (member) {
			this.#take(member, beat);
		}
	}

	#take(member: Member, beat: Beat): void {
		const {clock, log, load, warm, members, onLoad} = this.deps;
		const nowMs = clock.monotonic();
		if (!members.isAlive(member, nowMs)) {
			log.info({event: 'host-heard', host: member.entry.id});
		}

		member.heardAtMs = nowMs;
		member.isReady = beat.isReady;
		member.isSourceFailing = beat.isSourceFailing;
		load.recordPeer(member.entry.id, beat.loads, nowMs);
		for (let index = 0; index + 1 < beat.sent.length; index += 2) {
			warm.record(beat.sent[index]!, beat.sent[index + 1]!);
		}

		this.#compare(member, beat);
		onLoad();
	}

	/** Takes the peer's word for how fresh our own knowledge is, or asks it for what we lack. */
	#compare(member: Member, {operations, workers}: Beat): void {
		const question = this.deps.state.compare(operations, workers);
		if (question && !this.#isCatchingUp) {
			void this.#catchUp(member, question);
		}
	}

	async #catchUp(member: Member, question: Question): Promise<void> {
		const {state, catchUp, log, clock} = this.deps;
		this.#isCatchingUp = true;
		const startMs = clock.monotonic();
		try {
			state.applyCatchUp(await catchUp.since(member.entry, question), startMs);
		} catch (error) {
			log.warn({event: 'catch-up-failed', host: member.entry.id, message: (error as Error).message});
		} finally {
			this.#isCatchingUp = false;
		}
	}
}
