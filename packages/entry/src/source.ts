import type {SteeringConfig, WorkerRegistration} from '@apricotwood/steering';

/** Registration record of an entry host, shared with all other hosts. */
export type HostEntry = {
	readonly id: string;
	readonly ip: string;
	/** Port for messages between hosts, both UDP and TCP. */
	readonly peerPort: number;
	/** Address that callers connect to, as `IP:port`. */
	readonly callerAddress: string;
	readonly zone: string;
	readonly region: string;
	/** Start time of the process, Unix ms; of two records with the same id, the later start replaces the other. */
	readonly startedMs: number;
};

/** Changes to the registered workers, or a full snapshot of them. */
export type WorkersUpdate = {
	/** Revision to continue from; reading from here misses no change. */
	readonly revision: number;
	/** Whether `changed` is a full snapshot; workers missing from a snapshot have been removed. */
	readonly isWhole: boolean;
	readonly changed: readonly WorkerRegistration[];
	readonly removed: readonly string[];
	/** All workers whose entries are missing from the source, but may be written again; only in updates from peers. */
	readonly unconfirmed?: readonly string[];
};

/** Changes to the operators' configuration and zone evacuations, or a full snapshot of them. */
export type OperationsUpdate = {
	readonly revision: number;
	/** Whether `evacuate` lists all evacuated zones. */
	readonly isWhole: boolean;
	readonly config: SteeringConfig | undefined;
	/** Zones that must receive no requests. */
	readonly evacuate: readonly string[];
	/** Zones whose evacuation has been revoked. */
	readonly restore: readonly string[];
};

/** What one host knows of a request that may crash workers, as it is kept in the source. */
export type CrashHistoryEntry = {
	/** Hash of the id of the host that has written it. */
	readonly host: number;
	/** Fingerprint of the request. */
	readonly request: string;
	/** Number of responses that have cleared the request. */
	readonly generation: number;
	/** Workers that crashed, as hashes of their id and start. */
	readonly workers: readonly number[];
	/** Unix ms. */
	readonly lastCrashAtMs: number;
	/** Ids of the trials since the last response. */
	readonly trials: readonly number[];
	/** Time before which no further trial may be sent, Unix ms. */
	readonly nextTrialAtMs: number;
	/** Whether there is evidence for the request. */
	readonly isDoubtful: boolean;
};

/** What identifies a `CrashHistoryEntry`. */
export type CrashHistoryKey = Pick<CrashHistoryEntry, 'host' | 'request'>;

/** Keeps what the hosts know of requests that crash workers, so that it outlives them. Each method throws when the source does not respond. */
export interface CrashHistorySource {
	/** Reads the entries of all hosts, also of those that no longer run. */
	readCrashHistory(signal: AbortSignal): Promise<readonly CrashHistoryEntry[]>;
	/** Writes and removes entries, all or none. Entries that do not exist are removed as well. */
	updateCrashHistory(written: readonly CrashHistoryEntry[], removed: readonly CrashHistoryKey[], signal: AbortSignal): Promise<void>;
}

/** What the source responds to the registration of a host. */
export type RegistrationResult = {
	/** Epoch of the source in which the host is registered. A restored source, which has a higher epoch, may lack the registration. */
	readonly epoch: number;
	/** Whether the host was registered by an earlier process. */
	readonly hasEarlierStart: boolean;
};

/** The source: the platform's store as a host sees it. Hosts read the operators' configuration and the registered workers from it, and register there. Each method throws when the store does not respond. */
export interface SteeringSource {
	/** @param after revision to continue from; `undefined` reads a full snapshot. */
	readWorkers(after: number | undefined, signal: AbortSignal): Promise<WorkersUpdate>;
	readOperations(after: number | undefined, signal: AbortSignal): Promise<OperationsUpdate>;
	register(host: HostEntry, signal: AbortSignal): Promise<RegistrationResult>;
	/** Reads all hosts that have ever registered, including hosts that no longer run. */
	readHosts(signal: AbortSignal): Promise<readonly HostEntry[]>;
}
