// Exports the histogram only: loading the package's log writer and its WebAssembly variant would add 17 ms to each start,
// and neither is used.
const { default: Histogram } = require("hdr-histogram-js/dist/Int32Histogram.js");
module.exports = {
  build: ({ highestTrackableValue, numberOfSignificantValueDigits }) =>
    new Histogram(1, highestTrackableValue, numberOfSignificantValueDigits),
};
