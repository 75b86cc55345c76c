/** What a peer's connection gives way for. The values are part of the log format. */
export enum EvictionReason {
	/** The peers hold too many bytes. */
	HeldBytes = 'held-bytes',
	/** The peers hold too many connections. */
	Connections = 'connections',
	/** The peer sends more than a request head may have. */
	EndlessHead = 'endless-head',
	/** The peer sends on for too long after its request was answered. */
	EndlessBody = 'endless-body',
	/** The peer takes no part of its response. */
	UntakenResponse = 'untaken-response',
}

/** Called when a connection has to be closed at once. */
export type CloseHandler = (reason: EvictionReason) => void;
/** Ends a request whose connection gives way. @returns whether its peer gets an answer. */
export type EvictionHandler = (reason: EvictionReason) => boolean;
