import type {SteeringConfig, WorkerEntry} from '@apricotwood/steering';

/** An entry host as the others need to know it. */
export type HostEntry = {
	readonly id: string;
	readonly ip: string;
	/** Port of messages between hosts, UDP and TCP. */
	readonly peerPort: number;
	/** `IP:port` that callers connect to. */
	readonly callerAddress: string;
	readonly zone: string;
	readonly region: string;
	/** Unix ms of the process's start; the higher one of the same id is the living one. */
	readonly startedMs: number;
};

/** Changes of the workers' entries. */
export type WorkersUpdate = {
	/** Reading on from here misses nothing. */
	readonly revision: number;
	/** Whether `changed` holds all entries; those that are missing are gone. */
	readonly isWhole: boolean;
	readonly changed: readonly WorkerEntry[];
	readonly removed: readonly string[];
};

/** Changes of what operators ask for. */
export type OperationsUpdate = {
	readonly revision: number;
	/** Whether `evacuate` holds all evacuated zones. */
	readonly isWhole: boolean;
	readonly config: SteeringConfig | undefined;
	/** Zones that are to get no work. */
	readonly evacuate: readonly string[];
	/** Zones that are taken back. */
	readonly restore: readonly string[];
};

/** Where operators' and workers' words are read, and hosts are registered. Each method throws when there is no answer. */
export interface SteeringSource {
	/** @param after revision to read on from; `undefined` reads all. */
	readWorkers(after: number | undefined, signal: AbortSignal): Promise<WorkersUpdate>;
	readOperations(after: number | undefined, signal: AbortSignal): Promise<OperationsUpdate>;
	register(host: HostEntry, signal: AbortSignal): Promise<void>;
	/** All hosts that ever registered, some of them gone. */
	readHosts(signal: AbortSignal): Promise<readonly HostEntry[]>;
}
