export {
	DrainKind, Priority, RepeatPolicy, agreementSchema,
	type Agreement, type Block, type CoreAgreement, type Cap, type Drain, type Link, type Member, type Region, type Service, type Shift, type Site, type Worker,
} from './types.js';
export {checkAgreement} from './check.js';
export {
	ChangeKind, EMPTY_AGREEMENT, Section, applyChanges, applyPatch, diffAgreements, keyOf, parsePatch,
	type BlockChange, type Change, type PatchResult, type Patch,
} from './patch.js';
export {AgreementState} from './state.js';
export {
	ResourceKind, TOTAL_DEMAND_GROUP, listResources, memberDemandGroup, serviceDemandGroup, type Resource,
} from './resources.js';
