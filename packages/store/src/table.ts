/** A row as the table holds it. */
export type Row = {
	readonly key: string;
	/** JSON value; `undefined` when the row was deleted. */
	readonly value: unknown;
	/** The commit that wrote the row; rises over the whole table. */
	readonly version: number;
};

/** One row of a transaction. */
export type RowWrite = {
	readonly key: string;
	/** `undefined` deletes the row. */
	readonly value: unknown;
	/** Version that the row must have; 0 for a row that must not exist; `undefined` for any. */
	readonly expected: number | undefined;
};

export type CommitResult
	= | {readonly ok: true; readonly version: number}
	/** Nothing was written; these rows have other versions. */
		| {readonly ok: false; readonly conflicts: readonly string[]};

export type ScanResult = {
	/** Rows changed after the given version, deleted ones included, in order of their version. */
	readonly rows: readonly Row[];
	/** Scanning on from this version misses nothing. */
	readonly upTo: number;
};

/** The platform's transactional table. Each method throws a `PlatformError` when there is no answer. */
export interface Table {
	read(key: string): Promise<Row | undefined>;
	/** Changes after `afterVersion` of the rows whose key starts with `prefix`. */
	scan(prefix: string, afterVersion: number): Promise<ScanResult>;
	/** Writes all rows or none of them. */
	commit(writes: readonly RowWrite[]): Promise<CommitResult>;
}

/** The platform's object store. */
export interface ObjectStore {
	put(name: string, body: string): Promise<void>;
	get(name: string): Promise<string | undefined>;
}

/** What the platform says of a host. */
export enum ListedState {
	Live = 'live',
	Leaving = 'leaving',
}

export type ListedHost = {
	/** `IP:port` of an entry host or of a worker. */
	readonly address: string;
	readonly state: ListedState;
};

/** The platform's list of hosts, which lags. */
export interface HostList {
	list(): Promise<readonly ListedHost[]>;
}

/** Everything that the platform gives. */
export type Platform = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly hosts: HostList;
};
