/** A stored row. */
export type Row = {
	readonly key: string;
	/** JSON value; `undefined` for a deleted row. */
	readonly value: unknown;
	/** Version of the commit that wrote the row; increases with each commit to the table. */
	readonly version: number;
};

/** Write or deletion of one row in a transaction. */
export type RowWrite = {
	readonly key: string;
	/** `undefined` deletes the row. */
	readonly value: unknown;
	/** Required current version of the row; 0 if the row must not exist; `undefined` skips the check. */
	readonly expected: number | undefined;
};

/** Outcome of a transaction. */
export type CommitResult
	= | {readonly ok: true; readonly version: number}
	/** Nothing was written; `conflicts` has the keys whose version did not match. */
		| {readonly ok: false; readonly conflicts: readonly string[]};

/** Rows changed since a version. */
export type ScanResult = {
	/** Rows changed after the given version, including deleted rows, ordered by version. */
	readonly rows: readonly Row[];
	/** Version to pass to the next scan as `afterVersion` to see every later change. */
	readonly upTo: number;
};

/** The platform's transactional table. Each method throws a `PlatformError` when the call fails. */
export interface Table {
	read(key: string): Promise<Row | undefined>;
	/** Returns the rows whose key starts with `prefix` and that changed after `afterVersion`. */
	scan(prefix: string, afterVersion: number): Promise<ScanResult>;
	/** Writes all rows atomically, or none if any expected version does not match. */
	commit(writes: readonly RowWrite[]): Promise<CommitResult>;
}

/** The platform's object store. */
export interface ObjectStore {
	put(name: string, body: string): Promise<void>;
	get(name: string): Promise<string | undefined>;
}

/** State of a host in the platform's host list. */
export enum ListedState {
	Live = 'live',
	Leaving = 'leaving',
}

/** Entry of the platform's host list. */
export type ListedAddress = {
	/** `IP:port` of an entry host or of a worker. */
	readonly address: string;
	readonly state: ListedState;
};

/** The platform's host list, which may be stale. */
export interface HostList {
	list(): Promise<readonly ListedAddress[]>;
}

/** All services of the platform. */
export type Platform = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly hosts: HostList;
};
