/** Version of all programs of this repository. */
export const VERSION = "0.1.0";
