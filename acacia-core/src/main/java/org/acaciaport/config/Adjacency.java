package org.acaciaport.config;

/** How close together the members of a gang must run. */
public enum Adjacency {
    /** All accelerators on one target. */
    SAME_TARGET,
    /** All members on targets of one rack. */
    SAME_RACK,
    /** Members anywhere in one data centre. */
    SAME_DATA_CENTRE
}
