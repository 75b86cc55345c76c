/** What a caller is told of its request. */
export enum Outcome {
	/** An upstream's whole answer. */
	Answered = 'answered',
	/** The request did not run and will not. */
	NotRun = 'not-run',
	/** The request may have run. */
	Unknown = 'unknown',
}
