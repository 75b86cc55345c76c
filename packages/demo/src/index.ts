export {Cluster, type ClusterOptions, type HostProcess} from './cluster.js';
