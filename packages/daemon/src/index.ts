export {Host, type HostDeps} from './host/host.js';
export {HostPhase} from './host/phase.js';
export {parseSettings, loadSettings, readJson} from './settings/load.js';
export type {Settings} from './settings/schema.js';
export {runDaemon} from './main.js';
