export {
	REPEATS, runCampaign, shrinkRun, type CampaignOptions, type CampaignResult, type FailedRun, type ShrunkRun,
} from './campaign.js';
export {Coverage} from './coverage.js';
export {
	MUTANTS, NO_MUTANT, type KnownMutant, type Mutant,
} from './mutants.js';
export {judge, RuleName, type Violation} from './oracle.js';
export {
	UsageError, parseOptions, type Options,
} from './options.js';
export type {Part, RunContext} from './part.js';
export {PartName} from './part-name.js';
export {LANES, createPart} from './parts.js';
export {
	StreamEnd, readResponse, type ReadResponse, type ReadResult,
} from './caller/response-reader.js';
export type {Observation} from './observation.js';
