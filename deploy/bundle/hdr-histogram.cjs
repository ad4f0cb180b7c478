/** The part of the histogram library that metrics use; see `undici.cjs`. */
module.exports = require('../../node_modules/hdr-histogram-js/dist/HistogramBuilder');
