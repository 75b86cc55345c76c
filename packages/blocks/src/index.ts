export {BlockTable, type BlockMatch} from './blocks.js';
export {mixHashes} from './hash.js';
export {
	formatPrefix, maskWord, parseAddress, parsePrefix, type Prefix,
} from './prefix.js';
