package org.acaciaport.config;

/** A locality constraint on the members of a gang. */
public enum Adjacency {
    /** All accelerators on one target. */
    SAME_TARGET,
    /** All members on targets of one rack. */
    SAME_RACK,
    /** All members in one data centre, on targets of any rack. */
    SAME_DATA_CENTRE
}
