/** Execution outcome of a request, as reported to the caller. */
export enum Outcome {
	/** The caller receives an upstream's complete response. */
	Answered = 'answered',
	/** The request did not run and will not run. */
	NotRun = 'not-run',
	/** The request may have run. */
	Unknown = 'unknown',
}
