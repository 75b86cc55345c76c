export {
	DrainKind, Priority, Repeat, agreementSchema,
	type Agreement, type Block, type CoreAgreement, type Cap, type Drain, type Link, type Member, type Region, type Service, type Shift, type Site, type Worker,
} from './types.js';
export {checkAgreement} from './check.js';
export {
	ChangeKind, EMPTY_AGREEMENT, Section, applyChanges, applyPatch, diffAgreements, keyOf, parsePatch,
	type BlockChange, type Change, type Draft, type Patch,
} from './patch.js';
export {AgreementState} from './state.js';
export {
	ResourceKind, WHOLE_DEMAND, listResources, memberDemand, serviceDemand, type Resource,
} from './resources.js';
