export {
	Behaviour, StandinWorker, type RunEntry, type StandinWorkerOptions,
} from './worker.js';
export {FaultyPlatform, PlatformServer, type PlatformFaults} from './platform.js';
export {
	FRASER_REACH, HOOGHLY_OARS, createAgreement, createInitialPatch, zonesOf, type Deployment,
} from './deployment.js';
