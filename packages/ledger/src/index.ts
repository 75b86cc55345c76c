export {CandidateIndex, type HolderHost} from './candidates.js';
export {Holding, RateHolding} from './holding.js';
export {Holdings} from './holdings.js';
export {
	TakenUnits, findBlocked, takeAll, type Claimed, type TakeResult,
} from './taken.js';
export {divideUnits, type Candidate} from './target.js';
export {
	EMPTY_SHARE, countFree, planEntry, reclaimEntries, setEntry, type OwnPart, type ShareRow,
} from './share.js';
export {ListedAs, isGone, type HolderFacts} from './evidence.js';
