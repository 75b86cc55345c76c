import {sleep, type Clock} from '@apricotwood/clock';
import type {Log} from '@apricotwood/telemetry';
import type {MemberList} from '../peer/members.js';
import type {HostEntry, SteeringSource} from '../source.js';

/** Timeout of each call to the source, ms. */
const CALL_TIMEOUT_MS = 1000;
/** Linear increase of the backoff between attempts to register, ms. */
const BACKOFF_STEP_MS = 150;
/** Upper bound of the backoff, ms. */
const MAX_BACKOFF_MS = 2000;
/** Interval at which a registered host checks whether the source was restored, ms. */
const EPOCH_CHECK_INTERVAL_MS = 250;

/** Dependencies of a `Registration`. */
export type RegistrationDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly source: SteeringSource;
	readonly self: HostEntry;
	readonly members: MemberList;
	/** Returns the latest epoch of the source that this host knows of. */
	readonly getEpoch: () => number;
	/** Called after each registration. */
	readonly onRegistered: (hasEarlierStart: boolean) => void;
	/** Called after a failed attempt to register. */
	readonly onFailure: () => void;
	/** Called after each attempt. */
	readonly onAttempt: () => void;
};

/**
 * Registers this host in the source and reads the other hosts from it; again
 * after each restore of the source, which may have lost the registration. New
 * hosts count the registered ones to share the limits on requests.
 */
export class Registration {
	#registeredEpoch: number | undefined;

	constructor(private readonly deps: RegistrationDeps) {}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, onAttempt} = this.deps;
		for (let failures = 0; !signal.aborted;) {
			if (this.#isCurrent) {
				await sleep(clock, EPOCH_CHECK_INTERVAL_MS, signal); // eslint-disable-line no-await-in-loop
				continue;
			}

			failures = await this.#register(signal, failures) ? 0 : failures + 1; // eslint-disable-line no-await-in-loop
			if (signal.aborted) {
				return;
			}

			onAttempt();
			await sleep(clock, Math.min(MAX_BACKOFF_MS, BACKOFF_STEP_MS * failures), signal); // eslint-disable-line no-await-in-loop
		}
	}

	get #isCurrent(): boolean {
		return this.#registeredEpoch !== undefined && this.#registeredEpoch >= this.deps.getEpoch();
	}

	/** @returns whether the host is registered and knows the other registered hosts. */
	async #register(signal: AbortSignal, failures: number): Promise<boolean> {
		const {source, self, members, log, onRegistered, onFailure} = this.deps;
		try {
			const {epoch, hasEarlierStart} = await source.register(self, AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]));
			const hosts = await source.readHosts(AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]));
			for (const host of hosts) {
				members.put(host);
			}

			this.#registeredEpoch = epoch;
			onRegistered(hasEarlierStart);
			log.info({
				event: 'registered', hosts: hosts.length, epoch, hasEarlierStart,
			});
			return true;
		} catch (error) {
			// A call that ends because this host ends is no failure of the source.
			if (!signal.aborted) {
				log.warn({event: 'register-failed', message: (error as Error).message, tries: failures});
				onFailure();
			}

			return false;
		}
	}
}
