export {
	Behaviour, StandinWorker, type RunEntry, type StandinOptions,
} from './worker.js';
export {FaultyPlatform, PlatformServer, type PlatformFaults} from './platform.js';
export {
	FRASER_REACH, HOOGHLY_OARS, createAgreement, createFirstPatch, zonesOf, type Deployment,
} from './deployment.js';
