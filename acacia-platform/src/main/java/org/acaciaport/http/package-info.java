/**
 * A JSON server and a JSON client over HTTP, based on Jetty, and the implementations of the platform's client
 * interfaces on top of the client.
 */
package org.acaciaport.http;
