// The histogram alone: the package's log writer and its compiled variant cost 17 ms of each start and are not used.
const { default: Histogram } = require("hdr-histogram-js/dist/Int32Histogram.js");
module.exports = {
  build: ({ highestTrackableValue, numberOfSignificantValueDigits }) =>
    new Histogram(1, highestTrackableValue, numberOfSignificantValueDigits),
};
