/** Violation of a promise, with its evidence. */
export type Violation = {
	readonly promise: string;
	/** Id of the call, host or worker, or `all`. */
	readonly subject: string;
	readonly message: string;
};
