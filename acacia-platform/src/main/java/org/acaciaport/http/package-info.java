/**
 * HTTP by way of Jetty: a small JSON server, a JSON client, and the platform's interfaces on top of the client.
 */
package org.acaciaport.http;
