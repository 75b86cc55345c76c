/** How a call to the platform failed. */
export enum PlatformFailure {
	/** The request was not sent; it had no effect. */
	NotSent = 'not-sent',
	/** The request was sent but no response arrived; a write may have taken effect. */
	NoResponse = 'no-reply',
	/** The platform responded with an error status; a write may have taken effect. */
	ErrorResponse = 'refused',
}

/** A call to the platform failed. */
export class PlatformError extends Error {
	override readonly name = 'PlatformError';

	constructor(readonly failure: PlatformFailure, message: string, options?: ErrorOptions) {
		super(message, options);
	}
}
